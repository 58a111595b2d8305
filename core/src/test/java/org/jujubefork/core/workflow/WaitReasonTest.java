package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.Test;

/**
 * Guards against a wrong reason for a step that waits: an operator tells from the reason whether
 * the step waits for the store, the advice service, capacity or the end of a takeover.
 */
public final class WaitReasonTest {
    private static final StepKey STEP = new StepKey("j", 0, 0);
    private static final Resources NO_LIMIT = Resources.ZERO;

    private static WaitReason reason(WaitingFixture fixture) {
        return reason(fixture, STEP);
    }

    private static WaitReason reason(WaitingFixture fixture, StepKey key) {
        WaitingSteps waiting = fixture.leader.state().waitingSteps();
        WaitingSteps.Wait wait = waiting.steps().get(key);
        assertEquals(wait == null, false, key + " does not wait: " + waiting);
        assertEquals(waiting.byReason().get(wait.reason()).count() >= 1, true, "not counted");
        return wait.reason();
    }

    @Test
    public void queueMissing() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT);
        fixture.submit("j", LeaderFixture.job(2));
        fixture.configure(WaitingFixture.configuration(2, false, false, NO_LIMIT));
        fixture.advance(200);
        assertEquals(reason(fixture), WaitReason.QUEUE_MISSING);
    }

    @Test
    public void runsOfEarlierTermsUnknown() {
        WaitingFixture fixture =
                WaitingFixture.takeover(
                        NO_LIMIT,
                        List.of(LeaderFixture.acceptedJob("j", LeaderFixture.job(2), 100_000)),
                        "a",
                        "b");
        fixture.leader.listWorkers("a", "b");
        fixture.advance(1_000, "a");
        assertEquals(reason(fixture), WaitReason.RUNS_UNKNOWN);
    }

    @Test
    public void firstAdviceQueuedBehindAnotherRequest() {
        WaitingFixture fixture = WaitingFixture.withAdvice("a", "b");
        fixture.submit("i", LeaderFixture.job(16));
        fixture.advance(200, "a", "b");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(200, "a", "b");
        assertEquals(reason(fixture, new StepKey("i", 0, 0)), WaitReason.ADVICE_IN_FLIGHT);
        assertEquals(reason(fixture), WaitReason.ADVICE_QUEUED);
    }

    /** The step looks for workers at intervals only, so a new worker is not named at once. */
    @Test
    public void noWorkerThenFirstAdviceNotRequested() {
        WaitingFixture fixture = WaitingFixture.withAdvice();
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(100);
        assertEquals(reason(fixture), WaitReason.NO_WORKER);
        fixture.leader.listWorkers("a");
        fixture.advance(200, "a");
        assertEquals(reason(fixture), WaitReason.ADVICE_NOT_REQUESTED);
        fixture.advance(500, "a");
        assertEquals(reason(fixture), WaitReason.ADVICE_IN_FLIGHT);
    }

    @Test
    public void acceptanceNotStored() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a");
        fixture.leader.submit("j", LeaderFixture.job(2));
        fixture.leader.advance(100);
        assertEquals(reason(fixture), WaitReason.NOT_STORED);
    }

    @Test
    public void minimumFreeCapacityOfRankNotReached() {
        WaitingFixture fixture =
                WaitingFixture.takeover(
                        NO_LIMIT,
                        List.of(LeaderFixture.acceptedJob("j", LeaderFixture.job(2), 40_000)));
        fixture.submit("i", LeaderFixture.job(14));
        fixture.leader.listWorkers("a");
        fixture.advance(400, "a");
        assertEquals(fixture.leader.startedWorkers(), List.of("a"), "the urgent job starts");
        assertEquals(reason(fixture), WaitReason.MIN_FREE_CAPACITY);
    }

    @Test
    public void teamAtItsLimit() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(Resources.of(20_000, 0, 0), "a", "b");
        fixture.submit("i", LeaderFixture.job(16));
        fixture.advance(200, "a", "b");
        fixture.submit("j", LeaderFixture.job(8));
        fixture.advance(200, "a", "b");
        assertEquals(reason(fixture), WaitReason.TEAM_LIMIT);
    }

    /** Guards against a gang that is said to lack room although its team's limit is too low. */
    @Test
    public void teamLimitBelowWholeGang() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(Resources.of(20_000, 0, 0), "a", "b");
        fixture.submit("j", LeaderFixture.job(2, 16, true));
        fixture.advance(200, "a", "b");
        assertEquals(reason(fixture), WaitReason.TEAM_LIMIT);
    }

    @Test
    public void teamAtItsLimitOnlyByUnknownUsage() {
        WaitingFixture fixture =
                WaitingFixture.takeover(Resources.of(20_000, 0, 0), List.of(), "a", "b");
        fixture.leader.listWorkers("a", "b");
        fixture.submit("j", LeaderFixture.job(8));
        fixture.advance(500, "a");
        assertEquals(reason(fixture), WaitReason.TEAM_LIMIT_UNKNOWN_USAGE);
    }

    @Test
    public void noWorkerOfTheService() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT);
        fixture.submit("j", LeaderFixture.job(2));
        fixture.advance(200);
        assertEquals(reason(fixture), WaitReason.NO_WORKER);
    }

    @Test
    public void noWorkerWithATicket() {
        WaitingFixture fixture = WaitingFixture.withAdvice("a", "b");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(200, "a", "b");
        fixture.answerAdvice(Optional.of(Map.of()));
        fixture.advance(200, "a", "b");
        assertEquals(reason(fixture), WaitReason.NO_TICKET);
    }

    @Test
    public void noRoom() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a");
        fixture.submit("i", LeaderFixture.job(16));
        fixture.advance(200, "a");
        fixture.submit("j", LeaderFixture.job(8));
        fixture.advance(200, "a");
        assertEquals(reason(fixture), WaitReason.NO_ROOM);
    }

    @Test
    public void roomOnlyOnReservedWorkers() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a", "b");
        fixture.submit("i", LeaderFixture.job(16));
        fixture.advance(100, "a", "b");
        fixture.submit("g", LeaderFixture.job(2, 16, true));
        fixture.advance(100, "a", "b");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(200, "a", "b");
        assertEquals(fixture.leader.startedWorkers().size(), 1, "one worker is reserved");
        assertEquals(reason(fixture), WaitReason.WORKERS_RESERVED);
        assertEquals(reason(fixture, new StepKey("g", 0, 0)), WaitReason.NO_ROOM);
        assertEquals(fixture.leader.state().waitingSteps().reservedWorkers(), 1);
    }

    @Test
    public void gangWiderThanTheWorkers() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a", "b");
        fixture.submit("j", LeaderFixture.job(3, 16, true));
        fixture.advance(200, "a", "b");
        assertEquals(reason(fixture), WaitReason.TOO_FEW_WORKERS);
        assertEquals(fixture.leader.state().waitingSteps().reservedWorkers(), 0);
    }

    @Test
    public void gangWithActiveMember() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a", "b");
        fixture.submit("j", LeaderFixture.job(2, 16, true));
        fixture.advance(200, "a", "b");
        fixture.leader.confirmStarts();
        assertEquals(fixture.leader.startedWorkers().size(), 2);
        // Worker b is replaced, and worker a does not confirm the stop of the other member.
        fixture.leader.failLeaseRenewal("b", CommandOutcome.OTHER_WORKER);
        fixture.leader.advance(200);
        assertEquals(reason(fixture), WaitReason.GANG_ACTIVE);
    }

    @Test
    public void ticketRenewal() {
        WaitingFixture fixture = WaitingFixture.awaitingRenewal();
        assertEquals(reason(fixture), WaitReason.TICKET_RENEWAL);
    }
}
