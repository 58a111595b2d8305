package org.jujubefork.core.limits;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Invariants;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.Test;

/**
 * Guards against the budget of a small limit that stays in a shard without demand while work waits
 * for it in another one.
 */
public class BudgetTransferTest {
    private static final TeamId TEAM = TeamId.of("a");
    private static final int SEEDS = 20;
    private static final int ZONES = 3;
    private static final int LIMIT = 6;
    private static final int LOWERED = 4;

    /** Longest time from the arrival of work until all budget is where the work waits. */
    private static final long MOVED_MILLIS = 8_000;

    /**
     * As {@link #MOVED_MILLIS}, if several shards have to give; their writes meet conflicts, but no
     * cap waits longer for the answers of workers.
     */
    private static final long JOINED_MILLIS = LedgerPlanner.CONFIRM_TIMEOUT_MILLIS;

    /** Most writes of all entries for one move: each gives once and takes a few times. */
    private static final int MOST_WRITES = 12;

    private int writes;
    private int renewals;
    private Cluster cluster;
    private Workload workload;

    private Transition observed(State state, Event event) {
        Transition transition = Reducer.reduce(state, event);
        for (var effect : transition.effects()) {
            writes += effect instanceof StoreEffect.WriteLedger ? 1 : 0;
            renewals += effect instanceof WorkerEffect.RenewLease ? 1 : 0;
        }
        return transition;
    }

    private void start(long seed) {
        cluster = new Cluster(seed, Fixtures.configuration(1, ZONES, Map.of("a", LIMIT)));
        fill();
        cluster.run(15_000);
    }

    private void fill() {
        for (int i = 0; i < ZONES; i++) {
            cluster.addNode("e" + i, "z" + i, this::observed);
        }
        for (int i = 0; i < 2 * ZONES; i++) {
            cluster.addWorker("w" + i, "z" + i % ZONES);
        }
        workload = new Workload(cluster, 0);
    }

    /** Lowers a limit that covered the fleet, which leaves each shard with a part of a task. */
    private void startLowered(long seed) {
        cluster = new Cluster(seed, Fixtures.configuration(1, ZONES, Map.of("a", 4 * LIMIT)));
        fill();
        cluster.run(15_000);
        cluster.store().change(Fixtures.configuration(2, ZONES, Map.of("a", LOWERED)));
        cluster.run(20_000);
    }

    private void add(String shard) {
        for (int i = 0; i < LIMIT; i++) {
            workload.queue(
                    Workload.owner(cluster, shard).orElseThrow(),
                    ShardId.of(shard),
                    TEAM,
                    WorkKind.SERVICE);
        }
    }

    /** Runs until the team's whole limit is in use, and returns how long that took. */
    private long awaitFull(long seed, int limit) {
        long began = cluster.nowMillis();
        Invariants invariants = new Invariants(cluster);
        while (!Fixtures.TASK.times(limit).fitsIn(Invariants.running(cluster, TEAM))) {
            cluster.run(Cluster.STEP_MILLIS, invariants::checkLimits);
            assertTrue(cluster.nowMillis() - began < 100_000, "seed " + seed + " never full");
        }
        return cluster.nowMillis() - began;
    }

    @Test
    public void budgetLeavesAQuietShardWithinSeconds() {
        Figures figures = new Figures("quiet", MOVED_MILLIS);
        for (long seed = 1; seed <= SEEDS; seed++) {
            start(seed);
            add("z0");
            awaitFull(seed, LIMIT);
            while (!Invariants.running(cluster, TEAM).isZero()) {
                cluster.run(Cluster.STEP_MILLIS);
            }
            cluster.run(cluster.random().nextLong(10) * 1_000);
            writes = 0;
            renewals = 0;
            add("z1");
            figures.note(awaitFull(seed, LIMIT));
        }
        figures.check();
    }

    /** Parts of a task that are left in each shard must come together where work waits. */
    @Test
    public void partsOfATaskComeTogether() {
        Figures figures = new Figures("lowered", JOINED_MILLIS);
        for (long seed = 1; seed <= SEEDS; seed++) {
            startLowered(seed);
            writes = 0;
            renewals = 0;
            for (int zone = 0; zone < ZONES; zone++) {
                add("z" + zone);
            }
            figures.note(awaitFull(seed, LOWERED));
        }
        figures.check();
    }

    /** Times of moves, and what they cost. */
    private final class Figures {
        private final String name;
        private final long mostMillis;
        private final List<Long> times = new ArrayList<>();
        private int mostWrites;
        private int mostRenewals;

        Figures(String name, long mostMillis) {
            this.name = name;
            this.mostMillis = mostMillis;
        }

        void note(long millis) {
            times.add(millis);
            mostWrites = Math.max(mostWrites, writes);
            mostRenewals = Math.max(mostRenewals, renewals);
        }

        void check() {
            times.sort(null);
            String figures =
                    "%s, seeds 1 to %d: moves in ms %s, most writes %d, most renewals %d"
                            .formatted(name, SEEDS, times, mostWrites, mostRenewals);
            System.out.println(figures);
            assertTrue(times.getLast() <= mostMillis, figures);
            assertTrue(mostWrites <= MOST_WRITES, figures);
        }
    }
}
