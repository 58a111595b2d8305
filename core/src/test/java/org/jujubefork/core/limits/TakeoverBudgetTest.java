package org.jujubefork.core.limits;

import static org.jujubefork.core.testing.Fixtures.TASK_SIZE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.testing.Fixtures;
import org.pcollections.PVector;
import org.pcollections.TreePVector;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a successor that starts more work than the limit allows after it takes over a
 * shard, with or without the store.
 */
public class TakeoverBudgetTest {
    private static final TeamId TEAM = TeamId.of("a");
    private static final ShardId SHARD = ShardId.of("z");
    private static final Epoch EARLIER_EPOCH = Epoch.of(0, EntryId.of("earlier", 1));

    private State state;
    private long nowMillis;

    @BeforeMethod
    public void takeOver() {
        nowMillis = 1_000_000;
        state = State.initial(Fixtures.identity("e", 1, "z"), Timing.DEFAULT, nowMillis);
        apply(
                new ConfigurationLoaded(
                        nowMillis, Fixtures.configuration(1, 1, Map.of("a", 6)), none()));
        apply(
                new FleetEvent.WorkersListed(
                        nowMillis,
                        TreePVector.<WorkerListing>empty()
                                .plus(Fixtures.listing("w0", "z"))
                                .plus(Fixtures.listing("w1", "z"))));
        while (!state.shards().containsKey(SHARD)) {
            tick();
        }
    }

    private static <T> Optional<T> none() {
        return Optional.empty();
    }

    private void apply(Event event) {
        state = Reducer.reduce(state, event).state();
    }

    private void tick() {
        nowMillis += 100;
        apply(new Tick(nowMillis, nowMillis));
    }

    private void grantLease(String worker, long sentAtMillis, String... running) {
        PVector<ReportedTask> tasks = TreePVector.empty();
        for (String id : running) {
            TaskSpec spec =
                    new TaskSpec(
                            TaskId.of(id),
                            TEAM,
                            QueueId.of("a"),
                            WorkKind.BATCH,
                            TASK_SIZE,
                            Optional.empty(),
                            "");
            tasks = tasks.plus(new ReportedTask(spec, TASK_SIZE, 0));
        }
        apply(
                new FleetEvent.LeaseGranted(
                        nowMillis,
                        WorkerId.of(worker),
                        shard().epoch(),
                        sentAtMillis,
                        new WorkerReport(
                                1,
                                false,
                                Fixtures.WORKER_CAPACITY,
                                8,
                                tasks,
                                TreePVector.empty())));
    }

    private ShardState shard() {
        return state.shards().get(SHARD);
    }

    private Resources allowance() {
        return Limits.allowance(state, shard(), TEAM);
    }

    private void loadLedger(long revision, Epoch epoch, int tasks) {
        Ledger ledger =
                Ledger.EMPTY.withRow(TEAM, SHARD, new BudgetRow(epoch, TASK_SIZE.times(tasks)));
        apply(new LimitEvent.LedgerLoaded(nowMillis, revision, ledger));
    }

    /**
     * Guards against adopted usage above the earlier owner's budget. After a task on the first
     * acquired worker has ended, the earlier owner starts another task on the other worker. The sum
     * of both reports would allow two tasks although the budget may cover only one.
     */
    @Test
    public void adoptedUsageIsWhatRanWhenTheLastWorkerWasAcquired() {
        grantLease("w0", nowMillis, "t1");
        tick();
        grantLease("w1", nowMillis, "t2");
        tick();
        assertEquals(shard().usageOf(TEAM), TASK_SIZE.times(2));
        assertEquals(allowance(), Resources.ZERO);
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis, "t2");
        tick();
        assertEquals(allowance(), TASK_SIZE);
    }

    /**
     * Shows that the previous test detects the fault: a successor that adopts the first reports may
     * start too much work.
     */
    @Test
    public void firstReportsOverstateUsage() {
        grantLease("w0", nowMillis, "t1");
        grantLease("w1", nowMillis, "t2");
        ShardBudgetState withEarlyAdoption =
                state.limits().budgetState(SHARD).orElseThrow().withAdoptedUsage(shard().usage());
        state = state.withLimits(state.limits().withBudgetState(SHARD, withEarlyAdoption));
        assertEquals(
                allowance(),
                TASK_SIZE.times(2),
                "the reports add up to two tasks, but only one ran at a time");
    }

    /** Guards against uncounted work that an earlier owner starts on a worker not yet acquired. */
    @Test
    public void workerThatIsNotAcquiredIsChargedInFull() {
        loadLedger(1, shard().epoch(), 6);
        grantLease("w0", nowMillis);
        assertTrue(Limits.allows(state, shard(), TEAM, TASK_SIZE.times(2)));
        assertFalse(Limits.allows(state, shard(), TEAM, TASK_SIZE.times(3)));
        grantLease("w1", nowMillis);
        assertTrue(Limits.allows(state, shard(), TEAM, TASK_SIZE.times(6)));
    }

    /** Guards against starts under a row that does not carry the owner's epoch. */
    @Test
    public void rowOfAnEarlierEpochAllowsNothing() {
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        loadLedger(1, EARLIER_EPOCH, 6);
        assertEquals(allowance(), Resources.ZERO);
    }

    /** Guards against a claim that changes the budgets or needs several writes for its epoch. */
    @Test
    public void claimRaisesTheEpochInOneWrite() {
        loadLedger(1, EARLIER_EPOCH, 5);
        apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        while (state.limits().pendingWrites().isEmpty()) {
            tick();
            apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        }
        BudgetRow row =
                state.limits().pendingWrites().get().newestLedger().row(TEAM, SHARD).orElseThrow();
        assertEquals(row, new BudgetRow(shard().epoch(), TASK_SIZE.times(5)));
    }

    /**
     * Guards against an owner that uses the larger budget although the result of a write is
     * unknown: its answer was lost, and the next read still shows the old revision.
     */
    @Test
    public void lostAnswerCountsAsTheSmallerBudget() {
        loadLedger(1, shard().epoch(), 2);
        Ledger raisedLedger =
                Ledger.EMPTY.withRow(
                        TEAM, SHARD, new BudgetRow(shard().epoch(), TASK_SIZE.times(4)));
        PendingWrites pendingRaise = PendingWrites.of(1, raisedLedger, nowMillis);
        state = state.withLimits(state.limits().withPendingWrites(Optional.of(pendingRaise)));
        apply(new LimitEvent.LedgerWriteFailed(nowMillis, true));
        loadLedger(1, shard().epoch(), 2);
        assertEquals(allowance(), TASK_SIZE.times(2));
        PendingWrites pendingReduction =
                pendingRaise.withRetry(Ledger.EMPTY.withRow(TEAM, SHARD, ownRow(1)), nowMillis);
        state = state.withLimits(state.limits().withPendingWrites(Optional.of(pendingReduction)));
        assertEquals(allowance(), TASK_SIZE, "the lower budget may have been written");
        loadLedger(2, shard().epoch(), 4);
        assertEquals(allowance(), TASK_SIZE.times(4));
    }

    private BudgetRow ownRow(int tasks) {
        return new BudgetRow(shard().epoch(), TASK_SIZE.times(tasks));
    }

    /**
     * Guards against a row that is lowered below the usage of a successor. A successor that
     * acquired the workers before the cap may run more than the cap, so the row is lowered only
     * after each worker has granted a renewal that was sent under the cap.
     */
    @Test
    public void rowIsLoweredOnlyAfterWorkersConfirm() {
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        loadLedger(1, shard().epoch(), 5);
        tick();
        ShardBudgetState budgetState = state.limits().budgetState(SHARD).orElseThrow();
        LocalCap cap = new LocalCap(TASK_SIZE, nowMillis, false);
        ShardBudgetState withNewCap = budgetState.withCaps(budgetState.caps().plus(TEAM, cap));
        state = state.withLimits(state.limits().withBudgetState(SHARD, withNewCap));
        grantLease("w0", nowMillis);
        assertEquals(LedgerPlanner.plan(state), state.limits().ledger());
        grantLease("w1", nowMillis - 1);
        assertEquals(LedgerPlanner.plan(state), state.limits().ledger());
        grantLease("w1", nowMillis);
        assertEquals(LedgerPlanner.plan(state).row(TEAM, SHARD), Optional.of(ownRow(1)));
        LocalCap oldCap = new LocalCap(TASK_SIZE, Member.NEVER, false);
        ShardBudgetState withOldCap = budgetState.withCaps(budgetState.caps().plus(TEAM, oldCap));
        grantLease("w1", nowMillis - 1);
        State stateWithOldCap = state.withLimits(state.limits().withBudgetState(SHARD, withOldCap));
        assertEquals(
                LedgerPlanner.plan(stateWithOldCap).row(TEAM, SHARD),
                Optional.of(ownRow(1)),
                "without the confirmation the row would be lowered");
    }

    /**
     * Guards against starts under a stale epoch after a pause. A worker that was added during the
     * pause would accept such starts.
     */
    @Test
    public void nothingStartsAfterPauseUntilWorkersAnswer() {
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        loadLedger(1, shard().epoch(), 5);
        tick();
        assertTrue(Limits.allows(state, shard(), TEAM, TASK_SIZE));
        nowMillis += 6_000;
        tick();
        assertFalse(Limits.allows(state, shard(), TEAM, TASK_SIZE));
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        tick();
        assertTrue(Limits.allows(state, shard(), TEAM, TASK_SIZE));
    }

    /**
     * Guards against a row that is reduced too far because another owner has reduced its row
     * before.
     */
    @Test
    public void reducedRowsDoNotDependOnOrder() {
        ShardId otherShard = ShardId.of("y");
        Ledger ledger =
                Ledger.EMPTY
                        .withRow(TEAM, SHARD, ownRow(6))
                        .withRow(
                                TEAM, otherShard, new BudgetRow(EARLIER_EPOCH, TASK_SIZE.times(4)));
        apply(new LimitEvent.LedgerLoaded(nowMillis, 1, ledger));
        Resources limit = TASK_SIZE.times(5);
        assertEquals(Limits.rowLimit(state, shard(), TEAM, limit), TASK_SIZE.times(3));
        Ledger reduced =
                ledger.withRow(
                        TEAM,
                        otherShard,
                        new BudgetRow(EARLIER_EPOCH, TASK_SIZE.times(2), Optional.of(limit)));
        apply(new LimitEvent.LedgerLoaded(nowMillis, 2, reduced));
        assertEquals(Limits.rowLimit(state, shard(), TEAM, limit), TASK_SIZE.times(3));
    }

    /** Guards against a delayed read that restores an older ledger. */
    @Test
    public void olderRevisionIsIgnored() {
        loadLedger(3, shard().epoch(), 2);
        loadLedger(2, shard().epoch(), 6);
        assertEquals(allowance(), TASK_SIZE.times(2));
    }
}
