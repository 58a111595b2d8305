package org.jujubefork.core.limits;

import static org.jujubefork.core.testing.Fixtures.TASK;
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

/** Guards what a successor may start, with and without the store. */
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
                            TASK,
                            Optional.empty(),
                            "");
            tasks = tasks.plus(new ReportedTask(spec, TASK, 0));
        }
        apply(
                new FleetEvent.LeaseGranted(
                        nowMillis,
                        WorkerId.of(worker),
                        shard().epoch(),
                        sentAtMillis,
                        new WorkerReport(
                                1, false, Fixtures.WORKER, 8, tasks, TreePVector.empty())));
    }

    private ShardState shard() {
        return state.shards().get(SHARD);
    }

    private Resources allowance() {
        return Limits.allowance(state, shard(), TEAM);
    }

    private void loadLedger(long revision, Epoch epoch, int tasks) {
        Ledger ledger = Ledger.EMPTY.withRow(TEAM, SHARD, new BudgetRow(epoch, TASK.times(tasks)));
        apply(new LimitEvent.LedgerLoaded(nowMillis, revision, ledger));
    }

    /**
     * Work that ended on the worker acquired first was replaced by the earlier owner on the other
     * one. Counting both reports would allow two tasks where the budget may be one.
     */
    @Test
    public void adoptedUsageIsWhatRanWhenTheLastWorkerWasAcquired() {
        grantLease("w0", nowMillis, "t1");
        tick();
        grantLease("w1", nowMillis, "t2");
        tick();
        assertEquals(shard().usageOf(TEAM), TASK.times(2));
        assertEquals(allowance(), Resources.ZERO);
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis, "t2");
        tick();
        assertEquals(allowance(), TASK);
    }

    /** Shows that without the wait for later reports the successor would start too much. */
    @Test
    public void firstReportsOverstateUsage() {
        grantLease("w0", nowMillis, "t1");
        grantLease("w1", nowMillis, "t2");
        ShardBudgetState early =
                state.limits().budgetState(SHARD).orElseThrow().withAdoptedUsage(shard().usage());
        state = state.withLimits(state.limits().withBudgetState(SHARD, early));
        assertEquals(allowance(), TASK.times(2), "only one task ran at any time");
    }

    /** An earlier owner may still start work on a worker that is not acquired. */
    @Test
    public void workerThatIsNotAcquiredIsChargedInFull() {
        loadLedger(1, shard().epoch(), 6);
        grantLease("w0", nowMillis);
        assertTrue(Limits.allows(state, shard(), TEAM, TASK.times(2)));
        assertFalse(Limits.allows(state, shard(), TEAM, TASK.times(3)));
        grantLease("w1", nowMillis);
        assertTrue(Limits.allows(state, shard(), TEAM, TASK.times(6)));
    }

    /** Work may only be started under a row that carries the owner's epoch. */
    @Test
    public void rowOfAnEarlierEpochAllowsNothing() {
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        loadLedger(1, EARLIER_EPOCH, 6);
        assertEquals(allowance(), Resources.ZERO);
    }

    /** A claim replaces all rows of the shard in one write and keeps the budgets. */
    @Test
    public void claimRaisesTheEpochInOneWrite() {
        loadLedger(1, EARLIER_EPOCH, 5);
        apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        while (state.limits().pending().isEmpty()) {
            tick();
            apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        }
        BudgetRow row = state.limits().pending().get().newest().row(TEAM, SHARD).orElseThrow();
        assertEquals(row, new BudgetRow(shard().epoch(), TASK.times(5)));
    }

    /** The answer to a raise was lost, and the read that follows still shows the old revision. */
    @Test
    public void lostAnswerCountsAsTheSmallerBudget() {
        loadLedger(1, shard().epoch(), 2);
        Ledger raised =
                Ledger.EMPTY.withRow(TEAM, SHARD, new BudgetRow(shard().epoch(), TASK.times(4)));
        PendingWrite raise = PendingWrite.of(1, raised, nowMillis);
        state = state.withLimits(state.limits().withPending(Optional.of(raise)));
        apply(new LimitEvent.LedgerWriteFailed(nowMillis, true));
        loadLedger(1, shard().epoch(), 2);
        assertEquals(allowance(), TASK.times(2));
        PendingWrite lower =
                raise.withRetry(Ledger.EMPTY.withRow(TEAM, SHARD, ownRow(1)), nowMillis);
        state = state.withLimits(state.limits().withPending(Optional.of(lower)));
        assertEquals(allowance(), TASK, "a lower budget may stand");
        loadLedger(2, shard().epoch(), 4);
        assertEquals(allowance(), TASK.times(4));
    }

    private BudgetRow ownRow(int tasks) {
        return new BudgetRow(shard().epoch(), TASK.times(tasks));
    }

    /**
     * A successor that took the workers before the cap may run more than the cap, so a row is
     * lowered only after each worker has answered a renewal that was sent under the cap.
     */
    @Test
    public void rowIsLoweredOnlyAfterWorkersConfirm() {
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        loadLedger(1, shard().epoch(), 5);
        tick();
        ShardBudgetState budgetState = state.limits().budgetState(SHARD).orElseThrow();
        LocalCap cap = new LocalCap(TASK, nowMillis, false);
        ShardBudgetState capped = budgetState.withCaps(budgetState.caps().plus(TEAM, cap));
        state = state.withLimits(state.limits().withBudgetState(SHARD, capped));
        grantLease("w0", nowMillis);
        assertEquals(LedgerPlanner.plan(state), state.limits().ledger());
        grantLease("w1", nowMillis - 1);
        assertEquals(LedgerPlanner.plan(state), state.limits().ledger());
        grantLease("w1", nowMillis);
        assertEquals(LedgerPlanner.plan(state).row(TEAM, SHARD), Optional.of(ownRow(1)));
        LocalCap oldCap = new LocalCap(TASK, Member.NEVER, false);
        ShardBudgetState earlyCap = budgetState.withCaps(budgetState.caps().plus(TEAM, oldCap));
        grantLease("w1", nowMillis - 1);
        State withoutConfirmation =
                state.withLimits(state.limits().withBudgetState(SHARD, earlyCap));
        assertEquals(
                LedgerPlanner.plan(withoutConfirmation).row(TEAM, SHARD),
                Optional.of(ownRow(1)),
                "what it prevents");
    }

    /** After a pause, a worker that was added meanwhile would accept a stale epoch. */
    @Test
    public void nothingStartsAfterPauseUntilWorkersAnswer() {
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        loadLedger(1, shard().epoch(), 5);
        tick();
        assertTrue(Limits.allows(state, shard(), TEAM, TASK));
        nowMillis += 6_000;
        tick();
        assertFalse(Limits.allows(state, shard(), TEAM, TASK));
        grantLease("w0", nowMillis);
        grantLease("w1", nowMillis);
        tick();
        assertTrue(Limits.allows(state, shard(), TEAM, TASK));
    }

    /** Two owners that reduce their rows one after the other must not reduce them twice. */
    @Test
    public void reducedRowsDoNotDependOnOrder() {
        ShardId otherShard = ShardId.of("y");
        Ledger ledger =
                Ledger.EMPTY
                        .withRow(TEAM, SHARD, ownRow(6))
                        .withRow(TEAM, otherShard, new BudgetRow(EARLIER_EPOCH, TASK.times(4)));
        apply(new LimitEvent.LedgerLoaded(nowMillis, 1, ledger));
        Resources limit = TASK.times(5);
        assertEquals(Limits.rowLimit(state, shard(), TEAM, limit), TASK.times(3));
        Ledger reduced =
                ledger.withRow(
                        TEAM,
                        otherShard,
                        new BudgetRow(EARLIER_EPOCH, TASK.times(2), Optional.of(limit)));
        apply(new LimitEvent.LedgerLoaded(nowMillis, 2, reduced));
        assertEquals(Limits.rowLimit(state, shard(), TEAM, limit), TASK.times(3));
    }

    /** A delayed read must not bring an older ledger back. */
    @Test
    public void olderRevisionIsIgnored() {
        loadLedger(3, shard().epoch(), 2);
        loadLedger(2, shard().epoch(), 6);
        assertEquals(allowance(), TASK.times(2));
    }
}
