package org.jujubefork.core.jobs;

import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What the owner of a shard knows of the tasks of one job there.
 *
 * @param loaded whether {@code unqueued} was derived from the record
 * @param placed tasks on workers, by index
 * @param queued tasks in the shard's queue, by index; a gang is one item under index 0
 * @param unqueued indexes of tasks that are neither placed, queued nor delayed and have not
 *     succeeded
 * @param delayed indexes of failed tasks that wait before they are queued again
 * @param quickFailures failures in a row of service replicas that failed soon after their start
 * @param lastQueuedRun the newest run of a gang that this owner queued; 0 if none
 */
public record ShardTasks(
        boolean loaded,
        PSortedMap<Integer, PlacedTask> placed,
        PSortedMap<Integer, WorkQueue.Position> queued,
        PSortedSet<Integer> unqueued,
        PSortedSet<Integer> delayed,
        PSortedMap<Integer, Integer> quickFailures,
        int lastQueuedRun) {
    /** Nothing is known. */
    static final ShardTasks EMPTY =
            new ShardTasks(
                    false,
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePSet.empty(),
                    TreePSet.empty(),
                    TreePMap.empty(),
                    0);

    boolean isIdle() {
        return placed.isEmpty() && queued.isEmpty();
    }

    ShardTasks withPlaced(PSortedMap<Integer, PlacedTask> value) {
        return new ShardTasks(
                loaded, value, queued, unqueued, delayed, quickFailures, lastQueuedRun);
    }

    ShardTasks withQueued(PSortedMap<Integer, WorkQueue.Position> value) {
        return new ShardTasks(
                loaded, placed, value, unqueued, delayed, quickFailures, lastQueuedRun);
    }

    ShardTasks withUnqueued(PSortedSet<Integer> value) {
        return new ShardTasks(loaded, placed, queued, value, delayed, quickFailures, lastQueuedRun);
    }

    ShardTasks withDelayed(PSortedSet<Integer> value) {
        return new ShardTasks(
                loaded, placed, queued, unqueued, value, quickFailures, lastQueuedRun);
    }

    ShardTasks withQuickFailures(PSortedMap<Integer, Integer> value) {
        return new ShardTasks(loaded, placed, queued, unqueued, delayed, value, lastQueuedRun);
    }

    ShardTasks withLastQueuedRun(int run) {
        return new ShardTasks(loaded, placed, queued, unqueued, delayed, quickFailures, run);
    }

    ShardTasks withLoadedTasks(PSortedSet<Integer> remaining) {
        return new ShardTasks(
                true, placed, queued, remaining, delayed, quickFailures, lastQueuedRun);
    }
}
