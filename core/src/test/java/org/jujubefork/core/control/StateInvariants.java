package org.jujubefork.core.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerKey;
import org.jujubefork.core.placement.WorkerState;

/**
 * Checks that the sums and indexes of a state match the tasks and queues from which they derive.
 */
final class StateInvariants {
    private StateInvariants() {}

    static void check(State state, String context) {
        for (ShardState shard : state.shards().values()) {
            checkWorkers(shard, context);
            checkIndex(shard, context);
            checkUsage(shard, context);
            checkQueue(shard, context);
        }
    }

    private static void checkWorkers(ShardState shard, String context) {
        for (WorkerState worker : shard.workers().values()) {
            Resources committed = Resources.ZERO;
            Resources observed = Resources.ZERO;
            int usedSlots = 0;
            for (TaskId id : worker.tasks()) {
                RunningTask task = shard.tasks().get(id);
                committed = committed.plus(task.spec().size());
                observed = observed.plus(task.charge());
                usedSlots += task.spec().kind().isRequest() ? 1 : 0;
            }
            assertEquals(worker.committed(), committed, context);
            assertEquals(worker.load().observed(), observed, context);
            assertEquals(worker.usedSlots(), usedSlots, context);
            assertTrue(
                    committed.fitsIn(worker.capacity()),
                    context + " over capacity: " + worker.id());
            assertTrue(
                    usedSlots <= worker.slots(), context + " too many slots used: " + worker.id());
        }
    }

    private static void checkIndex(ShardState shard, String context) {
        List<WorkerKey> expected = new ArrayList<>();
        Resources free = Resources.ZERO;
        for (WorkerState worker : shard.workers().values()) {
            if (worker.isEligible()) {
                expected.add(new WorkerKey(worker.available(), worker.freeSlots(), worker.id()));
                free = free.plus(worker.available());
            }
        }
        List<WorkerKey> byFree = new ArrayList<>();
        List<WorkerKey> bySlots = new ArrayList<>();
        List<WorkerKey> byRack = new ArrayList<>();
        shard.workerIndex().byFree().forEach(byFree::add);
        shard.workerIndex().byFreeSlots().forEach(bySlots::add);
        shard.workerIndex().byRack().values().forEach(t -> t.forEach(byRack::add));
        for (int i = 1; i < byFree.size(); i++) {
            long previousCpuMillis = byFree.get(i - 1).free().cpuMillis();
            assertTrue(
                    previousCpuMillis <= byFree.get(i).free().cpuMillis(),
                    context + " index out of order");
        }
        for (List<WorkerKey> keys : List.of(byFree, bySlots, byRack)) {
            keys.sort(Comparator.comparing(WorkerKey::worker));
            assertEquals(keys, expected, context);
        }
        assertEquals(shard.workerIndex().byFree().totalFree(), free, context);
    }

    private static void checkUsage(ShardState shard, String context) {
        Map<TeamId, Resources> usage = new TreeMap<>();
        int batchCount = 0;
        for (RunningTask task : shard.tasks().values()) {
            usage.merge(task.spec().team(), task.spec().size(), Resources::plus);
            batchCount += task.spec().kind() == WorkKind.BATCH ? 1 : 0;
            assertTrue(
                    shard.workers().get(task.worker()).tasks().contains(task.spec().id()), context);
        }
        assertEquals(new TreeMap<>(shard.usage()), usage, context);
        int indexedBatchCount =
                shard.taskIndex().batchTasksByTeam().values().stream()
                        .mapToInt(s -> s.size())
                        .sum();
        assertEquals(indexedBatchCount, batchCount, context);
    }

    private static void checkQueue(ShardState shard, String context) {
        var queue = shard.queue();
        int size = 0;
        int requestCount = 0;
        Map<QueueId, Integer> countByQueue = new TreeMap<>();
        Map<TeamId, Resources> requestDemand = new TreeMap<>();
        for (var keyAndLane : queue.lanes().entrySet()) {
            for (var sequenceAndWork : keyAndLane.getValue().entrySet()) {
                size++;
                countByQueue.merge(sequenceAndWork.getValue().queue(), 1, Integer::sum);
                if (sequenceAndWork.getValue() instanceof QueuedWork.Request request) {
                    requestCount++;
                    requestDemand.merge(request.team(), request.size(), Resources::plus);
                    var position = queue.requestPositions().get(request.origin().request());
                    assertEquals(position.lane(), keyAndLane.getKey(), context);
                    assertEquals(position.sequence(), (long) sequenceAndWork.getKey(), context);
                }
            }
        }
        assertEquals(queue.size(), size, context);
        assertEquals(queue.requestCount(), requestCount, context);
        assertEquals(queue.deadlines().size(), requestCount, context);
        assertEquals(new TreeMap<>(queue.countByQueue()), countByQueue, context);
        assertEquals(new TreeMap<>(queue.requestDemand()), requestDemand, context);
        assertTrue(queue.lanes().keySet().containsAll(queue.untriedLanes()), context);
    }
}
