package org.jujubefork.core.jobs;

import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What the owner of a shard knows of the tasks of one job in that shard.
 *
 * @param loaded whether {@code unqueued} was computed from the job record
 * @param placed tasks that are placed on workers, by index
 * @param queued positions of tasks in the queue of the shard, by index; a gang is one item under
 *     index 0
 * @param unqueued indexes of tasks that are neither placed, queued nor delayed and have not
 *     succeeded
 * @param delayed indexes of failed tasks that wait for their retry delay
 * @param quickFailures the number of failures in a row of service replicas that ended soon after
 *     their start, by index
 * @param lastQueuedRun the last run of a gang that this owner queued; 0 if none
 */
public record ShardTasks(
        boolean loaded,
        PSortedMap<Integer, PlacedTask> placed,
        PSortedMap<Integer, WorkQueue.Position> queued,
        PSortedSet<Integer> unqueued,
        PSortedSet<Integer> delayed,
        PSortedMap<Integer, Integer> quickFailures,
        int lastQueuedRun) {
    /** The state of a job of which nothing is known; its tasks are not loaded. */
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
