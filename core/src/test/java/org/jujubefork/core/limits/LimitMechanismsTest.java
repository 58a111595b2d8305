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
import org.jujubefork.core.testing.Faults;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Invariants;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shows that random faults find a violated limit once one of the safety mechanisms is left out. */
public class LimitMechanismsTest {
    private static final int SEEDS = 60;

    private interface Step extends BiFunction<State, Event, Transition> {}

    private static Step step(UnaryOperator<State> variant) {
        return (state, event) -> Reducer.reduce(variant.apply(state), event);
    }

    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {"rows", step(LimitMechanismsTest::withoutRows)},
            {"charges", (Step) LimitMechanismsTest::withoutCharges},
            {"pending writes", step(LimitMechanismsTest::withWritesTrusted)},
        };
    }

    @Test
    public void limitHoldsWithAllMechanisms() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertFalse(isViolated(seed, Reducer::reduce), "limit violated at seed " + seed);
        }
    }

    @Test(dataProvider = "mechanisms")
    public void limitIsViolatedWithout(String name, Step variant) {
        long seed = 1;
        while (seed <= SEEDS && !isViolated(seed, variant)) {
            seed++;
        }
        assertTrue(seed <= SEEDS, "no seed up to " + SEEDS + " violates a limit without " + name);
    }

    private static boolean isViolated(long seed, Step variant) {
        int entries = 3 + (int) (seed % 3);
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, entries, Map.of("a", 7)));
        for (int i = 0; i < entries; i++) {
            cluster.addNode("e" + i, "z" + i % 2, variant);
        }
        for (int i = 0; i < 6; i++) {
            cluster.addWorker("w" + i, "z" + i % 2);
        }
        Invariants invariants = new Invariants(cluster);
        Workload workload = new Workload(cluster, 0.05);
        Faults faults = new Faults(cluster);
        try {
            cluster.run(
                    300_000,
                    () -> {
                        faults.step();
                        workload.feed();
                        invariants.checkLimits();
                    });
            return false;
        } catch (AssertionError e) {
            return true;
        }
    }

    /** Gives each owner the whole limit. */
    private static State withoutRows(State state) {
        Ledger ledger = state.limits().ledger();
        for (TeamId team : ledger.rows().keySet()) {
            for (var row : ledger.team(team).entrySet()) {
                Resources limit = Budgets.limitOf(state, team);
                ledger =
                        ledger.with(
                                team, row.getKey(), new BudgetRow(row.getValue().epoch(), limit));
            }
        }
        return state.withLimits(state.limits().loaded(state.limits().revision(), ledger));
    }

    /**
     * Charges nothing for workers that are not acquired. Nothing is placed while workers are
     * acquired, because the charge would then fall below zero within the event.
     */
    private static Transition withoutCharges(State state, Event event) {
        State free = state;
        for (ShardState shard : state.shards().values()) {
            boolean hold = event instanceof FleetEvent;
            free = free.withShard(with(shard, hold ? WorkQueue.EMPTY : shard.queue()));
        }
        Transition result = Reducer.reduce(free, event);
        State restored = result.state();
        for (ShardState shard : restored.shards().values()) {
            ShardState before = state.shards().get(shard.id());
            boolean hold = event instanceof FleetEvent && before != null;
            restored = restored.withShard(with(shard, hold ? before.queue() : shard.queue()));
        }
        return result.withState(restored);
    }

    private static ShardState with(ShardState s, WorkQueue queue) {
        return new ShardState(
                s.id(),
                s.epoch(),
                s.claimedAtMillis(),
                s.workers(),
                s.workerIndex(),
                s.taskIndex(),
                s.capacity(),
                Resources.ZERO,
                queue,
                s.schedulerState());
    }

    /** Takes a write for done as soon as it is sent. */
    private static State withWritesTrusted(State state) {
        LimitState limits = state.limits();
        return limits.pending()
                .map(
                        p ->
                                limits.loaded(limits.revision(), p.newest())
                                        .withPending(Optional.empty()))
                .map(state::withLimits)
                .orElse(state);
    }
}
