package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.Test;

/**
 * Guards against an accepted job that never starts because the advice service once gave no ticket
 * for a worker that was down or restarting at that moment, and against requests about workers that
 * may not run a step. A refusal is final for one incarnation of a worker.
 */
public final class AdviceRefusalTest {
    /** Time within which a step that can run has to start, as the platform's rules demand. */
    private static final long MAX_START_MILLIS = 3_000;

    private static final String JOB = "j";

    private final LeaderFixture leader =
            LeaderFixture.leading(
                    LeaderFixture.configuration(new AdviceSettings(10, 1, 2_000)),
                    new WorkflowEvent.Snapshot(
                            List.of(), List.of(), List.of(), SilentWorkers.NONE));

    /** Advances the time while the workers, the store and the advice service answer. */
    private static void advance(LeaderFixture leader, long millis, Set<String> permitted) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            leader.answerLeaseRenewal("a");
            leader.answerLeaseRenewal("b");
            leader.storeAll();
            leader.takeAdviceRequests().forEach(r -> grant(leader, r, permitted));
        }
    }

    private static void grant(
            LeaderFixture leader, WorkflowEffect.RequestAdvice request, Set<String> permitted) {
        Map<String, String> tickets = new HashMap<>();
        request.workers().stream()
                .filter(permitted::contains)
                .forEach(w -> tickets.put(w, "ticket-" + w));
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), Optional.of(tickets)));
    }

    private static LeaderFixture withWorkers() {
        LeaderFixture leader = new AdviceRefusalTest().leader;
        leader.listWorkers("a", "b");
        advance(leader, 300, Set.of());
        return leader;
    }

    @Test
    public void gangStartsAfterWorkerThatGotNoTicketIsBack() {
        LeaderFixture leader = withWorkers();
        leader.submit(JOB, LeaderFixture.job(2, 16, true));
        advance(leader, 1_000, Set.of("a"));
        assertEquals(leader.startedWorkers(), List.of(), "started without a ticket");
        leader.restartWorker("b");
        advance(leader, MAX_START_MILLIS, Set.of("a", "b"));
        assertEquals(Set.copyOf(leader.startedWorkers()), Set.of("a", "b"));
    }

    @Test
    public void taskStartsAfterRenewalLeftItsWorkerOut() {
        LeaderFixture leader = withWorkers();
        leader.submit(JOB, LeaderFixture.job(1, 16, false));
        advance(leader, 300, Set.of("a"));
        assertEquals(leader.startedWorkers(), List.of("a"));
        // The worker restarts: it knows no ticket of before, and is left out of the renewal.
        leader.completeStart(leader.starts().get(0), CommandOutcome.NO_TICKET);
        advance(leader, 1_000, Set.of());
        leader.restartWorker("a");
        advance(leader, MAX_START_MILLIS, Set.of("a"));
        assertEquals(leader.startedWorkers(), List.of("a", "a"));
    }

    /** Guards against requests without end for a step that no worker may run. */
    @Test
    public void refusedWorkersAreNotNamedAgainInTheSameIncarnation() {
        LeaderFixture leader = withWorkers();
        leader.submit(JOB, LeaderFixture.job(1, 16, false));
        advance(leader, 10_000, Set.of());
        assertEquals(leader.adviceRequests().size(), 1, "requests in 10 s");
    }

    /** Guards against an answer about the earlier incarnation that refuses the later one. */
    @Test
    public void answerAboutEarlierIncarnationDoesNotRefuseTheLaterOne() {
        LeaderFixture leader = withWorkers();
        leader.submit(JOB, LeaderFixture.job(1, 16, false));
        leader.advance(100);
        leader.storeAll();
        WorkflowEffect.RequestAdvice sentBefore = leader.takeAdviceRequests().get(0);
        leader.restartWorker("a");
        advance(leader, 500, Set.of());
        grant(leader, sentBefore, Set.of());
        advance(leader, MAX_START_MILLIS, Set.of("a"));
        assertEquals(leader.startedWorkers(), List.of("a"));
    }
}
