package org.jujubefork.core.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
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

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("jujubefork.firstSeed", 1);
        long count = Long.getLong("jujubefork.seeds", 24);
        return LongStream.range(first, first + count)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void promisesHoldUnderRandomFaults(long seed) {
        int entries = 3 + (int) (seed % 6);
        Cluster cluster =
                new Cluster(
                        seed, Fixtures.configuration(1, entries, Map.of("a", 5, "b", 9, "c", 99)));
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
