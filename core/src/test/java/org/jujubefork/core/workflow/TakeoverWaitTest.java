package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.Test;

/**
 * Guards against a new leader that starts tasks too early after a takeover, so that a task runs
 * twice, and against one that still waits when no run of an earlier leader can be active any more.
 */
public final class TakeoverWaitTest {
    /**
     * Latest expiry of a lease, counted from the store's last confirmation of the leader that
     * granted it.
     */
    private static final long MAX_LEASE_MILLIS = 8_000;

    private static LeaderFixture takeover() {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(
                        List.of(LeaderFixture.acceptedJob("j", LeaderFixture.job(2), 100_000)),
                        List.of(),
                        List.of(LeaderFixture.worker("a"), LeaderFixture.worker("b")),
                        SilentWorkers.NONE));
    }

    /**
     * Advances the time by {@code millis}. Worker {@code a} answers all lease renewals; those of
     * worker {@code b} fail with {@code outcomeOfB}.
     */
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
        assertEquals(leader.startedWorkers(), List.of(), "started before the leases have expired");
        advance(leader, 1_000, CommandOutcome.UNKNOWN);
        assertEquals(leader.startedWorkers(), List.of("a"));
    }

    /**
     * Guards against a leader without contact to the store that grants leases which expire after
     * the next leader has stopped waiting.
     */
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
        List<Long> expiries = leader.leaseExpiries();
        assertFalse(expiries.isEmpty(), "no lease was granted");
        for (long expiry : expiries) {
            assertTrue(expiry <= confirmedAt + MAX_LEASE_MILLIS, "expires at " + expiry);
        }
        assertTrue(
                leader.now() + WorkflowLimits.WORKER_LEASE_MILLIS > confirmedAt + MAX_LEASE_MILLIS);
    }

    /**
     * Guards against waiting for a worker that no longer exists, but that the worker list still
     * contains.
     */
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
        assertFalse(
                leader.state().workers().containsKey("b"),
                "a worker that no longer exists is kept");
    }

    @Test
    public void idleUnreachableWorkerIsRemovedFromStoredFleet() {
        LeaderFixture leader = takeover();
        leader.listWorkers("a", "b");
        advance(leader, MAX_LEASE_MILLIS + 2_000, CommandOutcome.UNKNOWN);
        assertFalse(
                leader.state().commitQueue().isWorkerRecorded("b"),
                "an unreachable idle worker is in the stored set");
        assertTrue(
                leader.state().commitQueue().isWorkerRecorded("a"),
                "a worker in use is not in the stored set");
        // The job fits only on worker b, which becomes reachable again.
        leader.submit("k", LeaderFixture.job(16));
        advance(leader, 300, CommandOutcome.UNKNOWN);
        leader.advance(400);
        leader.answerLeaseRenewal("b");
        assertFalse(leader.state().commitQueue().isWorkerRecorded("b"));
        leader.advance(200);
        assertFalse(
                leader.startedWorkers().contains("b"),
                "started before the worker is in the stored set");
        leader.storeAll();
        leader.advance(100);
        assertTrue(
                leader.startedWorkers().contains("b"),
                "no start on a worker that is reachable again");
    }

    /**
     * Guards against a takeover that resets the age of jobs, so that a late job counts as a new
     * one.
     */
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
                                List.of(),
                                SilentWorkers.NONE));
        assertEquals(leader.state().jobs().get("j").acceptedAt(), 93_000L);
    }
}
