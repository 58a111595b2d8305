package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/**
 * Guards against a task that runs twice because a value of one incarnation of its worker, such as
 * its clock or its fencing token, is used for the next one under the same identifier.
 */
public final class IncarnationChangeTest {
    private static final TaskKey TASK = new TaskKey("j", 0, 0, 0);

    /** The longest lease of a worker, with the margin for its clock. */
    private static final long LONGEST_LEASE_MILLIS = 10_400;

    /** The latest end of a granted lease after a claim, with the margin for the worker's clock. */
    private static final long GRANTED_LEASE_MILLIS = 8_400;

    private static LeaderFixture leading(WorkerNode.Listing... recorded) {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(
                        List.of(), List.of(), List.of(recorded), SilentWorkers.NONE));
    }

    /** Returns a leader with worker {@code a}, on which run 1 of the only task is active. */
    private static LeaderFixture started() {
        LeaderFixture leader = leading();
        leader.listWorkers("a");
        advance(leader, 200, List.of());
        leader.submit("j", LeaderFixture.job(4));
        advance(leader, 200, List.of());
        assertEquals(leader.startedWorkers(), List.of("a"));
        leader.confirmStarts();
        advance(leader, 200, running(1));
        return leader;
    }

    private static List<RunningRun> running(long runNumber) {
        return List.of(new RunningRun(TASK, runNumber, "", 100));
    }

    /** Advances the time; worker {@code a} answers all renewals and has {@code running}. */
    private static void advance(LeaderFixture leader, long millis, List<RunningRun> running) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(20);
            leader.answerLeaseRenewal("a", running, List.of());
            leader.storeAll();
        }
    }

    private static void restart(LeaderFixture leader) {
        leader.restartWorker("a");
        leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
    }

    private static WorkflowEffect.RenewLease newestRenewal(LeaderFixture leader) {
        return leader.leaseRenewals("a").getLast();
    }

    /**
     * Guards against a lease that expires too late (review/6): after a failed renewal the worker
     * may have restarted, and the clock offset of its earlier incarnation is of no use.
     */
    @Test
    public void renewalAfterFailedOneGrantsNoLease() {
        LeaderFixture leader = started();
        assertTrue(newestRenewal(leader).expiry().isPresent(), "no lease before");
        int renewalCount = leader.leaseRenewals("a").size();
        leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
        leader.advance(500);
        assertEquals(leader.leaseRenewals("a").size(), renewalCount + 1);
        assertTrue(newestRenewal(leader).expiry().isEmpty(), "a lease without confirmation");
        leader.answerLeaseRenewal("a", running(1), List.of());
        assertTrue(newestRenewal(leader).expiry().isPresent(), "no lease after the answer");
    }

    /** Guards against late orders for an earlier incarnation that the next one carries out. */
    @Test
    public void ordersForNextIncarnationCarryHigherFence() {
        LeaderFixture leader = started();
        long earlierFence =
                leader.leaseRenewals("a").stream()
                        .mapToLong(WorkflowEffect.RenewLease::fence)
                        .max()
                        .getAsLong();
        assertEquals(leader.starts().get(0).fence(), earlierFence);
        restart(leader);
        advance(leader, 800, List.of());
        assertEquals(leader.startedWorkers(), List.of("a", "a"), "no second start");
        assertTrue(leader.starts().get(1).fence() > earlierFence, "a start with an old fence");
        long previousFence = 0;
        for (WorkflowEffect.RenewLease renewal : leader.leaseRenewals("a")) {
            assertTrue(renewal.fence() >= previousFence, "the fence falls");
            previousFence = renewal.fence();
        }
        assertEquals(newestRenewal(leader).fence(), leader.starts().get(1).fence());
        assertEquals(newestRenewal(leader).leaderFence(), leader.state().fence());
    }

    /**
     * Guards against a second run that starts before the lease of the first one has ended: an order
     * for the earlier incarnation may have set the longest lease before the fence was raised.
     */
    @Test
    public void runOnRestartedWorkerCountsUntilItsLongestLeaseEnds() {
        LeaderFixture leader = started();
        restart(leader);
        advance(leader, 800, List.of());
        assertEquals(leader.startedWorkers(), List.of("a", "a"), "no second start");
        leader.completeStart(leader.starts().get(1), CommandOutcome.OK);
        long cutOffAt = leader.now();
        leader.listWorkers("a", "b");
        while (leader.starts().size() < 3 && leader.now() < cutOffAt + 20_000) {
            leader.advance(20);
            leader.answerLeaseRenewal("b");
            leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
            leader.storeAll();
        }
        assertEquals(leader.startedWorkers(), List.of("a", "a", "b"));
        long waitedMillis = leader.now() - cutOffAt;
        assertTrue(waitedMillis >= 10_000 - 800, "started after " + waitedMillis);
        assertTrue(waitedMillis <= LONGEST_LEASE_MILLIS + 200, "started after " + waitedMillis);
    }

    /**
     * Guards against a start on an incarnation that has not answered yet: the worker list can show
     * a restart before a renewal does.
     */
    @Test
    public void listedRestartStopsStartsUntilWorkerAnswers() {
        LeaderFixture leader = started();
        leader.restartWorker("a");
        leader.post(
                new WorkflowEvent.WorkersListed(
                        leader.now(),
                        HashTreePMap.singleton(
                                "a", LeaderFixture.worker("a").withBorn(leader.incarnation("a")))));
        leader.submit("k", LeaderFixture.job(4));
        leader.advance(100);
        leader.storeAll();
        leader.advance(300);
        assertEquals(leader.starts().size(), 1, "a start for an unknown incarnation");
        leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
        advance(leader, 800, List.of());
        assertTrue(leader.starts().size() > 1, "no start after the answer");
    }

    /** Returns how long a new leader waits for worker {@code b}, which it cannot reach. */
    private static long takeoverWait(long bornOfB) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(
                                        LeaderFixture.acceptedJob(
                                                "j", LeaderFixture.job(2), 100_000)),
                                List.of(),
                                List.of(
                                        LeaderFixture.worker("a"),
                                        LeaderFixture.worker("b").withBorn(bornOfB)),
                                SilentWorkers.NONE));
        long claimedAt = leader.now();
        leader.listWorkers("a", "b");
        while (leader.starts().isEmpty() && leader.now() < claimedAt + 20_000) {
            leader.advance(20);
            leader.answerLeaseRenewal("a");
            leader.failLeaseRenewal("b", CommandOutcome.UNKNOWN);
            leader.storeAll();
        }
        assertFalse(leader.starts().isEmpty(), "no start");
        return leader.now() - claimedAt;
    }

    /**
     * Guards against a new leader that does not wait for the longest lease of a worker that had
     * restarted shortly before, and against one that waits as long for the others.
     */
    @Test
    public void newLeaderWaitsLongerForWorkerWithoutRecordedIncarnation() {
        long recorded = takeoverWait(7);
        assertTrue(
                recorded >= GRANTED_LEASE_MILLIS && recorded < GRANTED_LEASE_MILLIS + 200,
                "waited " + recorded);
        long unrecorded = takeoverWait(0);
        assertTrue(
                unrecorded >= LONGEST_LEASE_MILLIS && unrecorded < LONGEST_LEASE_MILLIS + 200,
                "waited " + unrecorded);
    }

    private static List<Long> recordedIncarnations(LeaderFixture leader) {
        return leader.committedEntries().stream()
                .filter(WorkflowEffect.Entry.PutFleet.class::isInstance)
                .map(e -> ((WorkflowEffect.Entry.PutFleet) e).workers().getFirst().born())
                .toList();
    }

    /**
     * Guards against a stored set of workers that names an incarnation while orders for an earlier
     * one may have set longer leases, and against one that never names it.
     */
    @Test
    public void restartedWorkerIsRecordedWithoutIncarnationAtFirst() {
        LeaderFixture leader = started();
        long earlier = leader.incarnation("a");
        restart(leader);
        advance(leader, 3_800, List.of());
        assertEquals(recordedIncarnations(leader), List.of(earlier, 0L));
        advance(leader, 1_000, List.of());
        assertEquals(recordedIncarnations(leader), List.of(earlier, 0L, earlier + 1));
    }

    /**
     * Guards against a leader that calls a new worker again and again while the store, which has to
     * record the worker before its first lease, does not answer.
     */
    @Test
    public void newWorkerIsCalledAtIntervalsWhileStoreDoesNotAnswer() {
        LeaderFixture leader = leading();
        leader.listWorkers("a");
        for (int i = 0; i < 50; i++) {
            leader.advance(20);
            if (!isAnswerHeld(leader)) {
                leader.answerLeaseRenewal("a");
            }
        }
        int count = leader.leaseRenewals("a").size();
        assertTrue(count <= 3, count + " renewals in a second");
    }

    /** Returns whether the newest renewal lets worker {@code a} wait until a run ends. */
    private static boolean isAnswerHeld(LeaderFixture leader) {
        List<WorkflowEffect.RenewLease> renewals = leader.leaseRenewals("a");
        return !renewals.isEmpty() && renewals.getLast().maxWaitMillis() > 0;
    }
}
