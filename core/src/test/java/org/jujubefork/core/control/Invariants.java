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

/** Checks that sums, indexes and queues of a state agree with what they are derived from. */
final class Invariants {
    private Invariants() {}

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
            int slots = 0;
            for (TaskId id : worker.tasks()) {
                RunningTask task = shard.tasks().get(id);
                committed = committed.plus(task.spec().size());
                observed = observed.plus(task.charge());
                slots += task.spec().kind().isRequest() ? 1 : 0;
            }
            assertEquals(worker.committed(), committed, context);
            assertEquals(worker.load().observed(), observed, context);
            assertEquals(worker.usedSlots(), slots, context);
            assertTrue(committed.fitsIn(worker.capacity()), context + " over: " + worker.id());
            assertTrue(slots <= worker.slots(), context + " slots: " + worker.id());
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
            long before = byFree.get(i - 1).free().cpuMillis();
            assertTrue(before <= byFree.get(i).free().cpuMillis(), context + " out of order");
        }
        for (List<WorkerKey> keys : List.of(byFree, bySlots, byRack)) {
            keys.sort(Comparator.comparing(WorkerKey::worker));
            assertEquals(keys, expected, context);
        }
        assertEquals(shard.workerIndex().byFree().totalFree(), free, context);
    }

    private static void checkUsage(ShardState shard, String context) {
        Map<TeamId, Resources> usage = new TreeMap<>();
        int batch = 0;
        for (RunningTask task : shard.tasks().values()) {
            usage.merge(task.spec().team(), task.spec().size(), Resources::plus);
            batch += task.spec().kind() == WorkKind.BATCH ? 1 : 0;
            assertTrue(
                    shard.workers().get(task.worker()).tasks().contains(task.spec().id()), context);
        }
        assertEquals(new TreeMap<>(shard.usage()), usage, context);
        int indexed =
                shard.taskIndex().batchTasksByTeam().values().stream()
                        .mapToInt(s -> s.size())
                        .sum();
        assertEquals(indexed, batch, context);
    }

    private static void checkQueue(ShardState shard, String context) {
        var queue = shard.queue();
        int size = 0;
        int requests = 0;
        Map<QueueId, Integer> queued = new TreeMap<>();
        Map<TeamId, Resources> demand = new TreeMap<>();
        for (var lane : queue.lanes().entrySet()) {
            for (var item : lane.getValue().entrySet()) {
                size++;
                queued.merge(item.getValue().queue(), 1, Integer::sum);
                if (item.getValue() instanceof QueuedWork.Request request) {
                    requests++;
                    demand.merge(request.team(), request.size(), Resources::plus);
                    var position = queue.requestPositions().get(request.origin().request());
                    assertEquals(position.lane(), lane.getKey(), context);
                    assertEquals(position.sequence(), (long) item.getKey(), context);
                }
            }
        }
        assertEquals(queue.size(), size, context);
        assertEquals(queue.requestCount(), requests, context);
        assertEquals(queue.deadlines().size(), requests, context);
        assertEquals(new TreeMap<>(queue.countByQueue()), queued, context);
        assertEquals(new TreeMap<>(queue.requestDemand()), demand, context);
        assertTrue(queue.lanes().keySet().containsAll(queue.untriedLanes()), context);
    }
}
