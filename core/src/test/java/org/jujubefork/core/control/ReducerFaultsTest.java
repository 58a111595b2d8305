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
import org.jujubefork.core.testing.Faults;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Invariants;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards limits, epochs, versions, freshness and ownership under random faults. */
public class ReducerFaultsTest {
    private static final long FAULTY_MILLIS = 300_000;
    private static final long SETTLE_MILLIS = 90_000;

    /** Found an owner that took tasks for ended which a successor had adopted. */
    private static final long LOST_WORKER = 1_169;

    /** Found an owner that believed a late report of an earlier run of a worker. */
    private static final long LATE_REPORT = 1_884;

    private static final Map<String, Integer> LIMITS = Map.of("a", 5, "b", 9, "c", 99);

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("jujubefork.firstSeed", 1);
        long count = Long.getLong("jujubefork.seeds", 24);
        return LongStream.concat(
                        LongStream.range(first, first + count),
                        LongStream.of(LOST_WORKER, LATE_REPORT))
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** Accepts an operator's change every 10 s or so, unless the store is down. */
    private static void changeNowAndThen(Cluster cluster) {
        if (cluster.store().isUp() && cluster.random().nextInt(100) == 0) {
            Configuration now = cluster.store().configuration();
            cluster.store()
                    .change(
                            Fixtures.configuration(
                                    now.version() + 1, now.expectedEntries(), LIMITS));
        }
    }

    /** Counts the seeds in which an invariant other than the limits is violated. */
    private static long violations(BiFunction<State, Event, Transition> reducer) {
        return LongStream.rangeClosed(1, 12).filter(seed -> isViolated(seed, reducer)).count();
    }

    private static boolean isViolated(long seed, BiFunction<State, Event, Transition> reducer) {
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, 5, LIMITS));
        for (int i = 0; i < 5; i++) {
            cluster.addNode("e" + i, "z" + i % 3, reducer);
        }
        for (int i = 0; i < 3; i++) {
            cluster.addWorker("w" + i, "z" + i % 3);
        }
        Invariants invariants = new Invariants(cluster);
        Faults faults = new Faults(cluster);
        try {
            cluster.run(
                    FAULTY_MILLIS,
                    () -> {
                        faults.step();
                        changeNowAndThen(cluster);
                        invariants.check();
                    });
            return false;
        } catch (AssertionError e) {
            return true;
        }
    }

    /** Shows that the checks on keys would be found out of date without a bound on contacts. */
    @Test
    public void staleConfigurationIsFoundWithoutTheFreshnessRule() {
        assertEquals(violations(Reducer::reduce), 0);
        long stale =
                violations(
                        (state, event) ->
                                Reducer.reduce(
                                        state.withMembership(
                                                state.membership()
                                                        .withStoreContact(event.atMillis())),
                                        event));
        assertTrue(stale > 0, "no seed shows a stale configuration");
    }

    /** Shows that a version that goes back is found. */
    @Test
    public void lowerVersionIsFoundWithoutTheVersionRule() {
        long lower =
                violations(
                        (state, event) ->
                                event instanceof ConfigurationLoaded loaded
                                        ? Transition.of(
                                                state.withConfiguration(loaded.configuration()))
                                        : Reducer.reduce(state, event));
        assertTrue(lower > 0, "no seed shows a version that goes back");
    }

    @Test(dataProvider = "seeds")
    public void promisesHoldUnderRandomFaults(long seed) {
        int entries = 3 + (int) (seed % 6);
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, entries, LIMITS));
        for (int i = 0; i < entries; i++) {
            cluster.addNode("e" + i, "z" + i % 3, Reducer::reduce);
        }
        for (int i = 0; i < 6; i++) {
            cluster.addWorker("w" + i, "z" + i % 3);
        }
        Invariants invariants = new Invariants(cluster);
        Workload workload = new Workload(cluster, 0.05);
        Faults faults = new Faults(cluster);
        try {
            cluster.run(
                    FAULTY_MILLIS,
                    () -> {
                        faults.step();
                        changeNowAndThen(cluster);
                        workload.feed();
                        invariants.check();
                        invariants.checkLimits();
                    });
            faults.stop();
            cluster.run(
                    SETTLE_MILLIS,
                    () -> {
                        workload.feed();
                        invariants.check();
                        invariants.checkLimits();
                    });
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + " " + e.getMessage(), e);
        }
        assertEquals(invariants.unsettled(), Optional.empty(), "seed " + seed);
        assertTrue(faults.injected() > 3, "seed " + seed + " injected " + faults.injected());
    }
}
