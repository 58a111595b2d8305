package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.Test;

/**
 * How long a new leader waits before it starts tasks of jobs that an earlier one may have started.
 * Guards against a wait that is too short, so that a task runs twice, and against one that outlasts
 * what can still run.
 */
public final class TakeoverWaitTest {
    /** Latest end of a lease after the store last confirmed the leader that gave it. */
    private static final long MAX_LEASE_MILLIS = 8_000;

    private static LeaderFixture takeover() {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(
                        List.of(LeaderFixture.acceptedJob("j", LeaderFixture.job(2), 100_000)),
                        List.of(),
                        List.of(LeaderFixture.worker("a"), LeaderFixture.worker("b"))));
    }

    /** Lets time pass; {@code a} answers all lease calls and {@code b} fails them. */
    private static void advance(LeaderFixture leader, long millis, CommandOutcome outcomeOfB) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            leader.answerLeaseRenewal("a");
            leader.failLeaseRenewal("b", outcomeOfB);
            leader.storeAll();
        }
    }

    @Test
    public void startsWaitUntilLeasesOfUnreachableWorkerExpire() {
        LeaderFixture leader = takeover();
        leader.listWorkers("a", "b");
        advance(leader, MAX_LEASE_MILLIS, CommandOutcome.UNKNOWN);
        assertEquals(leader.startedWorkers(), List.of(), "starts before the leases have ended");
        advance(leader, 1_000, CommandOutcome.UNKNOWN);
        assertEquals(leader.startedWorkers(), List.of("a"));
    }

    /** The wait of the next leader is long enough only if no lease ends later. */
    @Test
    public void leasesOfLeaderWithoutStoreExpireInTime() {
        LeaderFixture leader = takeover();
        leader.listWorkers("a");
        advance(leader, 500, CommandOutcome.OTHER_WORKER);
        long confirmedAt = leader.now();
        leader.effects.clear();
        for (int i = 0; i < 45; i++) {
            leader.advanceUnconfirmed(100);
            leader.answerLeaseRenewal("a");
        }
        List<Long> leases = leader.leaseExpiries();
        assertFalse(leases.isEmpty(), "no lease was given");
        for (long until : leases) {
            assertTrue(until <= confirmedAt + MAX_LEASE_MILLIS, "ends at " + until);
        }
        assertTrue(
                leader.now() + WorkflowLimits.WORKER_LEASE_MILLIS > confirmedAt + MAX_LEASE_MILLIS);
    }

    /** The list of workers may still have an entry of a worker that is gone. */
    @Test
    public void startsDoNotWaitForListedWorkerWithReusedAddress() {
        LeaderFixture leader = takeover();
        leader.listWorkers("a", "b");
        advance(leader, 500, CommandOutcome.OTHER_WORKER);
        assertEquals(leader.startedWorkers(), List.of("a"));
    }

    @Test
    public void unlistedWorkerWithReusedAddressIsForgotten() {
        LeaderFixture leader = takeover();
        leader.listWorkers("a");
        advance(leader, 500, CommandOutcome.OTHER_WORKER);
        assertEquals(leader.startedWorkers(), List.of("a"));
        assertFalse(leader.state().workers().containsKey("b"), "a worker that is gone is kept");
    }

    @Test
    public void idleUnreachableWorkerIsRemovedFromStoredFleet() {
        LeaderFixture leader = takeover();
        leader.listWorkers("a", "b");
        advance(leader, MAX_LEASE_MILLIS + 2_000, CommandOutcome.UNKNOWN);
        assertFalse(
                leader.state().commitQueue().isWorkerRecorded("b"),
                "an abandoned worker is listed");
        assertTrue(
                leader.state().commitQueue().isWorkerRecorded("a"),
                "a worker in use is not listed");
        // The job fits only on the other worker, which comes back.
        leader.submit("k", LeaderFixture.job(16));
        advance(leader, 300, CommandOutcome.UNKNOWN);
        leader.advance(400);
        leader.answerLeaseRenewal("b");
        assertFalse(leader.state().commitQueue().isWorkerRecorded("b"));
        leader.advance(200);
        assertFalse(leader.startedWorkers().contains("b"), "a start before the worker is listed");
        leader.storeAll();
        leader.advance(100);
        assertTrue(leader.startedWorkers().contains("b"), "no start on a worker that came back");
    }

    /** A job keeps its age, so that what is late by now does not pass for new. */
    @Test
    public void takeoverKeepsAgeOfJobs() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(
                                        LeaderFixture.acceptedJob(
                                                "j", LeaderFixture.job(2), 93_000)),
                                List.of(),
                                List.of()));
        assertEquals(leader.state().jobs().get("j").acceptedAt(), 93_000L);
    }
}
