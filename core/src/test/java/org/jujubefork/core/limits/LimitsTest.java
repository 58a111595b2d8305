package org.jujubefork.core.limits;

import static org.jujubefork.core.testing.Fixtures.TASK_SIZE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.ClusterInvariants;
import org.jujubefork.core.testing.FaultInjector;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Node;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against budget that does not reach the shards that have demand, excessive ledger writes,
 * and usage that stays above a lowered limit.
 */
public class LimitsTest {
    private static final TeamId TEAM = TeamId.of("a");

    /** Maximum time from the write of a lower limit to the store until usage is within it. */
    private static final long MAX_LOWERING_MILLIS = 15_000;

    private final List<Long> writeTimesMillis = new ArrayList<>();
    private final Map<TaskId, WorkKind> stoppedTasks = new LinkedHashMap<>();
    private Cluster cluster;
    private Workload workload;

    @BeforeMethod
    public void clearRecords() {
        writeTimesMillis.clear();
        stoppedTasks.clear();
    }

    private void start(long seed, int entries, int zones, int limit) {
        cluster = new Cluster(seed, Fixtures.configuration(1, entries, Map.of("a", limit)));
        for (int i = 0; i < entries; i++) {
            cluster.addNode("e" + i, "z" + i % zones, this::reduceAndRecord);
        }
        for (int i = 0; i < 2 * zones; i++) {
            cluster.addWorker("w" + i, "z" + i % zones);
        }
        workload = new Workload(cluster, 0.05);
    }

    private Transition reduceAndRecord(State state, Event event) {
        Transition transition = Reducer.reduce(state, event);
        for (var effect : transition.effects()) {
            if (effect instanceof StoreEffect.WriteLedger) {
                writeTimesMillis.add(transition.state().nowMillis());
            }
            if (effect instanceof WorkerEffect.StopTask stop) {
                state.shards().values().stream()
                        .flatMap(s -> s.task(stop.task()).stream())
                        .forEach(t -> stoppedTasks.putIfAbsent(t.spec().id(), t.spec().kind()));
            }
        }
        return transition;
    }

    private Node owner(String shard) {
        return Workload.owner(cluster, shard).orElseThrow();
    }

    private void queueTasks(String shard, WorkKind kind, int count) {
        for (int i = 0; i < count; i++) {
            workload.enqueueTask(owner(shard), ShardId.of(shard), TEAM, kind);
        }
    }

    private int runningTaskCount() {
        return (int)
                (ClusterInvariants.runningResources(cluster, TEAM).cpuMillis()
                        / TASK_SIZE.cpuMillis());
    }

    private void lowerLimit(int limit) {
        cluster.store()
                .setConfiguration(
                        Fixtures.configuration(2, cluster.nodes().size(), Map.of("a", limit)));
    }

    /** Guards against unused budget that does not reach a shard in which work waits. */
    @Test
    public void budgetFollowsDemand() {
        start(1, 2, 2, 8);
        cluster.runFor(15_000);
        queueTasks("z0", WorkKind.SERVICE, 8);
        assertEquals(maxRunningTaskCount(25_000), 8);
        cluster.runFor(90_000);
        queueTasks("z1", WorkKind.SERVICE, 8);
        assertEquals(maxRunningTaskCount(30_000), 8);
    }

    /** Guards against a shard that keeps the whole limit while another shard starves. */
    @Test
    public void busyShardsShareALimit() {
        start(8, 2, 2, 7);
        cluster.runFor(15_000);
        queueTasks("z0", WorkKind.BATCH, 60);
        cluster.runFor(30_000);
        queueTasks("z1", WorkKind.BATCH, 60);
        cluster.runFor(90_000, new ClusterInvariants(cluster)::checkLimits);
        for (String shard : List.of("z0", "z1")) {
            Resources budget =
                    cluster.store().ledger().row(TEAM, ShardId.of(shard)).orElseThrow().budget();
            assertTrue(TASK_SIZE.times(3).fitsIn(budget), cluster.store().ledger().toString());
        }
    }

    private int maxRunningTaskCount(long millis) {
        int[] maxCount = new int[1];
        cluster.runFor(
                millis,
                () -> {
                    maxCount[0] = Math.max(maxCount[0], runningTaskCount());
                    new ClusterInvariants(cluster).checkLimits();
                });
        return maxCount[0];
    }

    /** Guards against ledger writes after the claim for a team that cannot reach its limit. */
    @Test
    public void nonBindingLimitNeedsNoWrites() {
        start(2, 3, 3, 24);
        cluster.runFor(20_000);
        writeTimesMillis.clear();
        cluster.runFor(600_000, workload::addWork);
        assertEquals(writeTimesMillis.size(), 0);
    }

    /**
     * Guards against entries that write more than once a second, or that all write at once when the
     * store is reachable again.
     */
    @Test
    public void writesAreRateLimitedAfterAnOutage() {
        start(3, 8, 8, 20);
        cluster.runFor(20_000, workload::addWork);
        cluster.store().setAvailable(false);
        cluster.kill("e0");
        cluster.kill("e1");
        cluster.runFor(60_000, workload::addWork);
        writeTimesMillis.clear();
        cluster.store().setAvailable(true);
        long reachableAtMillis = cluster.nowMillis();
        cluster.runFor(10_000, workload::addWork);
        for (long second = 0; second < 10; second++) {
            long fromMillis = reachableAtMillis + second * 1_000;
            long writeCount =
                    writeTimesMillis.stream()
                            .filter(t -> t >= fromMillis && t < fromMillis + 1_000)
                            .count();
            assertTrue(writeCount <= 6, writeCount + " writes of 6 entries in second " + second);
        }
        assertTrue(writeTimesMillis.size() <= 40, writeTimesMillis.size() + " writes in 10 s");
        assertTrue(cluster.store().ledger().highestEpoch(ShardId.of("z0")).isPresent());
    }

    /** Guards against a lowered limit that stops services while batch tasks still run. */
    @Test
    public void loweredLimitStopsBatchBeforeServices() {
        start(4, 1, 1, 8);
        cluster.runFor(10_000);
        queueTasks("z0", WorkKind.SERVICE, 4);
        cluster.runFor(5_000);
        queueTasks("z0", WorkKind.BATCH, 4);
        cluster.runFor(2_000);
        int runningCountBefore = runningTaskCount();
        lowerLimit(3);
        cluster.runFor(MAX_LOWERING_MILLIS);
        assertTrue(runningTaskCount() <= 3, runningTaskCount() + " tasks run, the limit is 3");
        List<WorkKind> stoppedKinds = new ArrayList<>(stoppedTasks.values());
        int lastBatchIndex = stoppedKinds.lastIndexOf(WorkKind.BATCH);
        assertTrue(
                lastBatchIndex >= 0 && lastBatchIndex < stoppedKinds.indexOf(WorkKind.SERVICE),
                stoppedKinds.toString());
        assertTrue(
                stoppedKinds.size() <= runningCountBefore,
                "more stops than tasks: " + stoppedKinds);
    }

    /** Guards against a removed team whose work continues to run or whose ledger rows remain. */
    @Test
    public void removedTeamIsStopped() {
        start(5, 2, 2, 6);
        cluster.runFor(15_000);
        queueTasks("z0", WorkKind.SERVICE, 2);
        queueTasks("z1", WorkKind.SERVICE, 2);
        cluster.runFor(10_000);
        assertEquals(runningTaskCount(), 4);
        cluster.store().setConfiguration(Fixtures.configuration(2, 2, Map.of("b", 6)));
        cluster.runFor(60_000);
        assertEquals(runningTaskCount(), 0);
        assertTrue(cluster.store().ledger().rowsOf(TEAM).isEmpty());
    }

    @DataProvider
    public Object[][] seeds() {
        List<Object[]> seeds = new ArrayList<>();
        for (long seed = 1; seed <= 20; seed++) {
            seeds.add(new Object[] {seed});
        }
        return seeds.toArray(Object[][]::new);
    }

    /** Guards against usage that stays above a lowered limit because messages are lost. */
    @Test(dataProvider = "seeds")
    public void loweredLimitHoldsDespiteMessageLoss(long seed) {
        start(seed, 3 + (int) (seed % 6), 3, 18);
        cluster.runFor(30_000, workload::addWork);
        cluster.setNetwork(0.05, 300);
        lowerLimit(7);
        cluster.runFor(MAX_LOWERING_MILLIS, workload::addWork);
        ClusterInvariants invariants = new ClusterInvariants(cluster);
        try {
            cluster.runFor(60_000, this::feedAndCheck);
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + " " + e.getMessage(), e);
        }
        cluster.setNetwork(0, 10);
        cluster.runFor(60_000, workload::addWork);
        invariants.checkLimits();
        assertTrue(
                cluster.store().ledger().allocated(TEAM).fitsIn(TASK_SIZE.times(7)),
                "seed " + seed + " " + cluster.store().ledger());
    }

    private void feedAndCheck() {
        workload.addWork();
        new ClusterInvariants(cluster).checkLimits();
    }

    /**
     * Guards against an owner that is paused during a takeover and then writes rows from its
     * outdated copy of the ledger.
     */
    @Test(dataProvider = "seeds")
    public void pausedOwnerDoesNotBreakTheLimit(long seed) {
        start(seed, 3, 2, 5);
        FaultInjector faults = new FaultInjector(cluster);
        cluster.runFor(20_000, this::feedAndCheck);
        for (int round = 0; round < 4; round++) {
            boolean isStoreDown = round % 2 == 1;
            cluster.store().setAvailable(!isStoreDown);
            cluster.pause(owner("z0").name(), 6_000 + cluster.random().nextLong(6_000));
            cluster.runFor(14_000, this::feedAndCheck);
            faults.endFaults();
            cluster.runFor(20_000, this::feedAndCheck);
        }
        assertEquals(
                new ClusterInvariants(cluster).findUnsettledShard().orElse(""), "", "seed " + seed);
    }
}
