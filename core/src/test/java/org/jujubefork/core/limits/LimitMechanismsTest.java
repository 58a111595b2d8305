package org.jujubefork.core.limits;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkQueue;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.ClusterInvariants;
import org.jujubefork.core.testing.FaultInjector;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against fault tests that pass although a safety mechanism does not work: random faults
 * must violate no limit with all mechanisms, and some limit if one mechanism is disabled.
 */
public class LimitMechanismsTest {
    private static final int SEED_COUNT = 60;

    private interface ReducerVariant extends BiFunction<State, Event, Transition> {}

    private static ReducerVariant reduceAfter(UnaryOperator<State> change) {
        return (state, event) -> Reducer.reduce(change.apply(state), event);
    }

    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {"rows", reduceAfter(LimitMechanismsTest::withWholeLimitInEachRow)},
            {"charges", (ReducerVariant) LimitMechanismsTest::withoutCharges},
            {"pending writes", reduceAfter(LimitMechanismsTest::withPendingWritesAssumedDone)},
        };
    }

    @Test
    public void limitHoldsWithAllMechanisms() {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            assertFalse(isViolated(seed, Reducer::reduce), "limit violated at seed " + seed);
        }
    }

    @Test(dataProvider = "mechanisms")
    public void limitIsViolatedWithoutMechanism(String name, ReducerVariant variant) {
        long seed = 1;
        while (seed <= SEED_COUNT && !isViolated(seed, variant)) {
            seed++;
        }
        assertTrue(
                seed <= SEED_COUNT,
                "no seed up to " + SEED_COUNT + " violates a limit without " + name);
    }

    private static boolean isViolated(long seed, ReducerVariant variant) {
        int entries = 3 + (int) (seed % 3);
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, entries, Map.of("a", 7)));
        for (int i = 0; i < entries; i++) {
            cluster.addNode("e" + i, "z" + i % 2, variant);
        }
        for (int i = 0; i < 6; i++) {
            cluster.addWorker("w" + i, "z" + i % 2);
        }
        ClusterInvariants invariants = new ClusterInvariants(cluster);
        Workload workload = new Workload(cluster, 0.05);
        FaultInjector faults = new FaultInjector(cluster);
        try {
            cluster.runFor(
                    300_000,
                    () -> {
                        faults.step();
                        workload.addWork();
                        invariants.checkLimits();
                    });
            return false;
        } catch (AssertionError e) {
            return true;
        }
    }

    /** Returns {@code state} with the team's whole limit as the budget in each row. */
    private static State withWholeLimitInEachRow(State state) {
        Ledger ledger = state.limits().ledger();
        for (TeamId team : ledger.rows().keySet()) {
            for (var shardAndRow : ledger.rowsOf(team).entrySet()) {
                Resources limit = ShardBudgets.limitOf(state, team);
                ledger =
                        ledger.withRow(
                                team,
                                shardAndRow.getKey(),
                                new BudgetRow(shardAndRow.getValue().epoch(), limit));
            }
        }
        return state.withLimits(state.limits().withLedger(state.limits().revision(), ledger));
    }

    /**
     * Charges nothing for workers that are not acquired. No work is placed while an event acquires
     * workers, because the charge would fall below zero during that event.
     */
    private static Transition withoutCharges(State state, Event event) {
        State uncharged = state;
        for (ShardState shard : state.shards().values()) {
            boolean withholdsQueue = event instanceof FleetEvent;
            uncharged =
                    uncharged.withShard(
                            unchargedShard(
                                    shard, withholdsQueue ? WorkQueue.EMPTY : shard.queue()));
        }
        Transition result = Reducer.reduce(uncharged, event);
        State restored = result.state();
        for (ShardState shard : restored.shards().values()) {
            ShardState before = state.shards().get(shard.id());
            boolean withholdsQueue = event instanceof FleetEvent && before != null;
            restored =
                    restored.withShard(
                            unchargedShard(shard, withholdsQueue ? before.queue() : shard.queue()));
        }
        return result.withState(restored);
    }

    private static ShardState unchargedShard(ShardState shard, WorkQueue queue) {
        return new ShardState(
                shard.id(),
                shard.epoch(),
                shard.claimedAtMillis(),
                shard.workers(),
                shard.workerIndex(),
                shard.taskIndex(),
                shard.capacity(),
                Resources.ZERO,
                queue,
                shard.schedulerState());
    }

    /** Returns {@code state} as if a ledger write had taken effect as soon as it was sent. */
    private static State withPendingWritesAssumedDone(State state) {
        LimitState limits = state.limits();
        return limits.pendingWrites()
                .map(
                        p ->
                                limits.withLedger(limits.revision(), p.newestLedger())
                                        .withPendingWrites(Optional.empty()))
                .map(state::withLimits)
                .orElse(state);
    }
}
