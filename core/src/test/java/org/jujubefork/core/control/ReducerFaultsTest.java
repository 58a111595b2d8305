package org.jujubefork.core.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.stream.LongStream;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.ClusterInvariants;
import org.jujubefork.core.testing.FaultInjector;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against violations of team limits, epoch order, configuration versions, configuration
 * freshness and shard ownership under random faults.
 */
public class ReducerFaultsTest {
    private static final long FAULT_PHASE_MILLIS = 300_000;
    private static final long RECOVERY_PHASE_MILLIS = 90_000;

    /**
     * Seed of a fault in which an owner treated tasks as ended although its successor had adopted
     * them.
     */
    private static final long LOST_WORKER_SEED = 1_169;

    /**
     * Seed of a fault in which an owner accepted a late report of a worker's earlier incarnation.
     */
    private static final long LATE_REPORT_SEED = 1_884;

    private static final Map<String, Integer> LIMITS_IN_TASKS = Map.of("a", 5, "b", 9, "c", 99);

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("jujubefork.firstSeed", 1);
        long count = Long.getLong("jujubefork.seeds", 24);
        return LongStream.concat(
                        LongStream.range(first, first + count),
                        LongStream.of(LOST_WORKER_SEED, LATE_REPORT_SEED))
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** Stores a new configuration version about every 10 s, unless the store is unavailable. */
    private static void maybeChangeConfiguration(Cluster cluster) {
        if (cluster.store().isAvailable() && cluster.random().nextInt(100) == 0) {
            Configuration current = cluster.store().configuration();
            cluster.store()
                    .setConfiguration(
                            Fixtures.configuration(
                                    current.version() + 1,
                                    current.expectedEntries(),
                                    LIMITS_IN_TASKS));
        }
    }

    /** Returns the number of seeds with which an invariant other than the limits is violated. */
    private static long countViolations(BiFunction<State, Event, Transition> reducer) {
        return LongStream.rangeClosed(1, 12).filter(seed -> isViolated(seed, reducer)).count();
    }

    private static boolean isViolated(long seed, BiFunction<State, Event, Transition> reducer) {
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, 5, LIMITS_IN_TASKS));
        for (int i = 0; i < 5; i++) {
            cluster.addNode("e" + i, "z" + i % 3, reducer);
        }
        for (int i = 0; i < 3; i++) {
            cluster.addWorker("w" + i, "z" + i % 3);
        }
        ClusterInvariants invariants = new ClusterInvariants(cluster);
        FaultInjector faults = new FaultInjector(cluster);
        try {
            cluster.runFor(
                    FAULT_PHASE_MILLIS,
                    () -> {
                        faults.step();
                        maybeChangeConfiguration(cluster);
                        invariants.check();
                    });
            return false;
        } catch (AssertionError e) {
            return true;
        }
    }

    /**
     * Guards against an invariant check that misses stale configurations: a reducer that always
     * considers the last store contact fresh must violate it.
     */
    @Test
    public void detectsStaleConfigurationWithoutTheFreshnessRule() {
        assertEquals(countViolations(Reducer::reduce), 0);
        long violationCount =
                countViolations(
                        (state, event) ->
                                Reducer.reduce(
                                        state.withMembership(
                                                state.membership()
                                                        .withStoreContact(event.atMillis())),
                                        event));
        assertTrue(violationCount > 0, "no seed detects a stale configuration");
    }

    /**
     * Guards against an invariant check that misses version rollbacks: a reducer that accepts any
     * loaded configuration must violate it.
     */
    @Test
    public void detectsVersionRollbackWithoutTheVersionRule() {
        long violationCount =
                countViolations(
                        (state, event) ->
                                event instanceof ConfigurationLoaded loaded
                                        ? Transition.of(
                                                state.withConfiguration(loaded.configuration()))
                                        : Reducer.reduce(state, event));
        assertTrue(violationCount > 0, "no seed detects a version rollback");
    }

    /**
     * Guards against violated invariants while faults occur, and against shards that do not recover
     * exactly one owner after the faults end.
     */
    @Test(dataProvider = "seeds")
    public void invariantsHoldUnderRandomFaults(long seed) {
        int entries = 3 + (int) (seed % 6);
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, entries, LIMITS_IN_TASKS));
        for (int i = 0; i < entries; i++) {
            cluster.addNode("e" + i, "z" + i % 3, Reducer::reduce);
        }
        for (int i = 0; i < 6; i++) {
            cluster.addWorker("w" + i, "z" + i % 3);
        }
        ClusterInvariants invariants = new ClusterInvariants(cluster);
        Workload workload = new Workload(cluster, 0.05);
        FaultInjector faults = new FaultInjector(cluster);
        try {
            cluster.runFor(
                    FAULT_PHASE_MILLIS,
                    () -> {
                        faults.step();
                        maybeChangeConfiguration(cluster);
                        workload.addWork();
                        invariants.check();
                        invariants.checkLimits();
                    });
            faults.endFaults();
            cluster.runFor(
                    RECOVERY_PHASE_MILLIS,
                    () -> {
                        workload.addWork();
                        invariants.check();
                        invariants.checkLimits();
                    });
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + " " + e.getMessage(), e);
        }
        assertEquals(invariants.findUnsettledShard(), Optional.empty(), "seed " + seed);
        assertTrue(
                faults.injectedCount() > 3, "seed " + seed + " injected " + faults.injectedCount());
    }
}
