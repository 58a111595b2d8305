package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/**
 * Guards against a new leader that starts work beyond the limit of a team, because it does not
 * count what runs on a worker that it has not reached. Worker {@code a} answers, worker {@code b}
 * is cut off and runs on; each has 16 cores.
 */
public final class TeamLimitTakeoverTest {
    private static final Resources LIMIT = Resources.of(20_000, 0, 0);

    /** Latest expiry of a lease of an earlier leader, counted from the takeover. */
    private static final long MAX_LEASE_MILLIS = 8_000;

    private static final String CANCELLED_JOB = "k";

    private static LeaderFixture takeover(Resources limit, SilentWorkers silent) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50, limit),
                        new WorkflowEvent.Snapshot(
                                List.of(),
                                List.of(),
                                List.of(LeaderFixture.worker("a"), LeaderFixture.worker("b")),
                                silent));
        leader.listWorkers("a", "b");
        return leader;
    }

    private static SilentWorkers recordOfCancelledRun() {
        TaskKey task = new TaskKey(CANCELLED_JOB, 0, 0, 0);
        return new SilentWorkers(1, HashTreePMap.singleton("b", HashTreePMap.singleton(task, 3L)));
    }

    /** Advances the time while only worker {@code a} and the store answer. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            leader.answerLeaseRenewal("a");
            leader.failLeaseRenewal("b", CommandOutcome.UNKNOWN);
            leader.storeAll();
        }
    }

    @Test
    public void capacityOfUnreachedWorkerCountsAgainstLimit() {
        LeaderFixture leader = takeover(LIMIT, SilentWorkers.NONE);
        leader.submit("j", LeaderFixture.job(8));
        advance(leader, MAX_LEASE_MILLIS);
        assertEquals(
                leader.startedWorkers(), List.of(), "up to 16 cores may be in use on worker b");
        advance(leader, 1_000);
        assertEquals(leader.startedWorkers(), List.of("a"), "the leases of b have expired");
    }

    /** Guards against a leader that holds back work that cannot exceed the limit. */
    @Test
    public void teamFarBelowItsLimitStartsAtOnce() {
        LeaderFixture leader = takeover(Resources.of(24_000, 0, 0), SilentWorkers.NONE);
        leader.submit("j", LeaderFixture.job(8));
        advance(leader, 500);
        assertEquals(leader.startedWorkers(), List.of("a"));
    }

    @Test
    public void recordedRunOfCancelledJobCountsAgainstLimit() {
        LeaderFixture leader = takeover(LIMIT, recordOfCancelledRun());
        leader.submit("j", LeaderFixture.job(8));
        advance(leader, MAX_LEASE_MILLIS);
        assertEquals(leader.startedWorkers(), List.of(), "the run may still be active on worker b");
        advance(leader, 1_000);
        assertEquals(leader.startedWorkers(), List.of("a"), "the leases of b have expired");
    }

    /** Guards against a recorded run of a cancelled job that goes on after its worker answers. */
    @Test
    public void recordedRunOfCancelledJobIsStopped() {
        LeaderFixture leader = takeover(LIMIT, recordOfCancelledRun());
        advance(leader, 2_000);
        leader.advance(500);
        RunningRun run = new RunningRun(new TaskKey(CANCELLED_JOB, 0, 0, 0), 3, "", 50);
        leader.answerLeaseRenewal("b", List.of(run), List.of());
        leader.effects.clear();
        leader.advance(1_000);
        assertTrue(
                leader.effects.stream().anyMatch(WorkflowEffect.Stop.class::isInstance),
                "no stop command");
    }
}
