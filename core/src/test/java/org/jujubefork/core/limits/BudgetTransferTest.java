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
import org.jujubefork.core.testing.ClusterInvariants;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.Test;

/**
 * Guards against budget of a small limit that stays in a shard without demand while work in another
 * shard waits for it.
 */
public class BudgetTransferTest {
    private static final TeamId TEAM = TeamId.of("a");
    private static final int SEED_COUNT = 20;
    private static final int ZONE_COUNT = 3;
    private static final int LIMIT = 6;
    private static final int LOWERED_LIMIT = 4;

    /** Maximum time from the arrival of work until all budget is in the shard where it waits. */
    private static final long MAX_TRANSFER_MILLIS = 8_000;

    /**
     * Like {@link #MAX_TRANSFER_MILLIS}, if several shards have to release budget. The ledger
     * writes of these shards conflict with each other, but no cap waits longer than this time for
     * workers to confirm it.
     */
    private static final long MAX_COMBINE_MILLIS = LedgerPlanner.CONFIRM_TIMEOUT_MILLIS;

    /**
     * Maximum number of ledger writes of all entries for one transfer: each entry releases budget
     * once and requests it a few times.
     */
    private static final int MAX_WRITES = 12;

    private int writeCount;
    private int renewalCount;
    private Cluster cluster;
    private Workload workload;

    private Transition reduceAndCount(State state, Event event) {
        Transition transition = Reducer.reduce(state, event);
        for (var effect : transition.effects()) {
            writeCount += effect instanceof StoreEffect.WriteLedger ? 1 : 0;
            renewalCount += effect instanceof WorkerEffect.RenewLease ? 1 : 0;
        }
        return transition;
    }

    private void start(long seed) {
        cluster = new Cluster(seed, Fixtures.configuration(1, ZONE_COUNT, Map.of("a", LIMIT)));
        addNodesAndWorkers();
        cluster.runFor(15_000);
    }

    private void addNodesAndWorkers() {
        for (int i = 0; i < ZONE_COUNT; i++) {
            cluster.addNode("e" + i, "z" + i, this::reduceAndCount);
        }
        for (int i = 0; i < 2 * ZONE_COUNT; i++) {
            cluster.addWorker("w" + i, "z" + i % ZONE_COUNT);
        }
        workload = new Workload(cluster, 0);
    }

    /**
     * Lowers a limit that covered the fleet, so that each shard has budget for a fraction of a task
     * in addition to whole tasks.
     */
    private void startWithLoweredLimit(long seed) {
        cluster = new Cluster(seed, Fixtures.configuration(1, ZONE_COUNT, Map.of("a", 4 * LIMIT)));
        addNodesAndWorkers();
        cluster.runFor(15_000);
        cluster.store()
                .setConfiguration(
                        Fixtures.configuration(2, ZONE_COUNT, Map.of("a", LOWERED_LIMIT)));
        cluster.runFor(20_000);
    }

    private void queueServices(String shard) {
        for (int i = 0; i < LIMIT; i++) {
            workload.enqueueTask(
                    Workload.owner(cluster, shard).orElseThrow(),
                    ShardId.of(shard),
                    TEAM,
                    WorkKind.SERVICE);
        }
    }

    /** Runs until the team's whole limit is in use, and returns the time taken in milliseconds. */
    private long awaitLimitInUse(long seed, int limit) {
        long startMillis = cluster.nowMillis();
        ClusterInvariants invariants = new ClusterInvariants(cluster);
        while (!Fixtures.TASK_SIZE
                .times(limit)
                .fitsIn(ClusterInvariants.runningResources(cluster, TEAM))) {
            cluster.runFor(Cluster.STEP_MILLIS, invariants::checkLimits);
            assertTrue(
                    cluster.nowMillis() - startMillis < 100_000,
                    "seed " + seed + " limit not in use");
        }
        return cluster.nowMillis() - startMillis;
    }

    /** Guards against budget that stays in a shard whose work has ended. */
    @Test
    public void budgetLeavesIdleShardWithinSeconds() {
        TransferStatistics statistics = new TransferStatistics("quiet", MAX_TRANSFER_MILLIS);
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            start(seed);
            queueServices("z0");
            awaitLimitInUse(seed, LIMIT);
            while (!ClusterInvariants.runningResources(cluster, TEAM).isZero()) {
                cluster.runFor(Cluster.STEP_MILLIS);
            }
            cluster.runFor(cluster.random().nextLong(10) * 1_000);
            writeCount = 0;
            renewalCount = 0;
            queueServices("z1");
            statistics.record(awaitLimitInUse(seed, LIMIT));
        }
        statistics.assertWithinBounds();
    }

    /**
     * Guards against budget that stays split into fractions of a task, so that no shard can start
     * another task.
     */
    @Test
    public void fragmentedBudgetIsCombined() {
        TransferStatistics statistics = new TransferStatistics("lowered", MAX_COMBINE_MILLIS);
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            startWithLoweredLimit(seed);
            writeCount = 0;
            renewalCount = 0;
            for (int zone = 0; zone < ZONE_COUNT; zone++) {
                queueServices("z" + zone);
            }
            statistics.record(awaitLimitInUse(seed, LOWERED_LIMIT));
        }
        statistics.assertWithinBounds();
    }

    /** Durations of budget transfers and the ledger writes and lease renewals that they cost. */
    private final class TransferStatistics {
        private final String name;
        private final long maxMillis;
        private final List<Long> timesMillis = new ArrayList<>();
        private int maxWrites;
        private int maxRenewals;

        TransferStatistics(String name, long maxMillis) {
            this.name = name;
            this.maxMillis = maxMillis;
        }

        void record(long millis) {
            timesMillis.add(millis);
            maxWrites = Math.max(maxWrites, writeCount);
            maxRenewals = Math.max(maxRenewals, renewalCount);
        }

        void assertWithinBounds() {
            timesMillis.sort(null);
            String summary =
                    "%s, seeds 1 to %d: transfer times in ms %s, max writes %d, max renewals %d"
                            .formatted(name, SEED_COUNT, timesMillis, maxWrites, maxRenewals);
            System.out.println(summary);
            assertTrue(timesMillis.getLast() <= maxMillis, summary);
            assertTrue(maxWrites <= MAX_WRITES, summary);
        }
    }
}
