package org.jujubefork.core.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.WorkerState;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.Test;

/**
 * Guards against an owner that releases the tasks of a worker, so that they start elsewhere, while
 * an entry that it cannot reach has acquired the worker and renews its lease.
 */
public class UnreachableOwnersTest {
    private static final ShardId SHARD = ShardId.of("z0");
    private static final int TASK_COUNT = 8;

    /**
     * Starts a cluster and partitions it: the owner e0 reaches only w1, and its successor e1
     * reaches only w0. The store is down, because otherwise e0 would see the successor's epoch in
     * the ledger.
     */
    private static Cluster startPartitioned(long seed) {
        Cluster cluster = new Cluster(seed, Fixtures.configuration(1, 2, Map.of("a", 99)));
        cluster.addNode("e0", "z0", Reducer::reduce);
        cluster.addNode("e1", "z1", Reducer::reduce);
        cluster.addWorker("w0", "z0");
        cluster.addWorker("w1", "z0");
        cluster.runFor(20_000);
        Workload workload = new Workload(cluster, 0);
        for (int i = 0; i < TASK_COUNT; i++) {
            workload.enqueueTask(cluster.node("e0"), SHARD, TeamId.of("a"), WorkKind.SERVICE);
        }
        cluster.runFor(2_000);
        cluster.store().setAvailable(false);
        cluster.disconnect("e0", "e1");
        cluster.disconnect("e0", "w0");
        cluster.disconnect("e1", "w1");
        return cluster;
    }

    private static Set<TaskId> tasksRunningOnW0(Cluster cluster) {
        return cluster.workers().get("w0").tasks().stream()
                .map(TaskSpec::id)
                .collect(Collectors.toSet());
    }

    private static Set<TaskId> tasksOfW0KnownToE0(Cluster cluster) {
        WorkerState worker =
                cluster.node("e0").state().shards().get(SHARD).workers().values().stream()
                        .filter(w -> w.id().value().equals("w0"))
                        .findFirst()
                        .orElseThrow();
        return Set.copyOf(worker.tasks());
    }

    @Test
    public void tasksOfUnreachableSuccessorAreKept() {
        Cluster cluster = startPartitioned(22);
        int[] stepsWithTasks = new int[1];
        cluster.runFor(
                70_000,
                () -> {
                    Set<TaskId> running = tasksRunningOnW0(cluster);
                    assertTrue(
                            tasksOfW0KnownToE0(cluster).containsAll(running),
                            "released " + running);
                    stepsWithTasks[0] += running.isEmpty() ? 0 : 1;
                });
        assertTrue(cluster.node("e1").state().shards().containsKey(SHARD), "no successor");
        assertTrue(stepsWithTasks[0] > 400, "the tasks ended too early: " + stepsWithTasks[0]);
    }

    /** Guards against tasks that are never restarted after the successor has died too. */
    @Test
    public void tasksAreReleasedAfterSuccessorDies() {
        Cluster cluster = startPartitioned(23);
        cluster.runFor(20_000);
        cluster.kill("e1");
        cluster.store().setAvailable(true);
        cluster.runFor(
                100_000,
                () ->
                        assertTrue(
                                tasksOfW0KnownToE0(cluster).containsAll(tasksRunningOnW0(cluster)),
                                "released while still running"));
        assertEquals(tasksRunningOnW0(cluster), Set.of());
        assertFalse(
                tasksOfW0KnownToE0(cluster).stream().findAny().isPresent(),
                "tasks are kept forever");
    }
}
