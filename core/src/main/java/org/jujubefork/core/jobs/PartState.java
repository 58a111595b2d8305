package org.jujubefork.core.jobs;

import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What the owner of a shard knows of the tasks of one job there.
 *
 * @param loaded whether {@code todo} was derived from the record
 * @param placed tasks on workers, by index
 * @param queued tasks in the shard's queue, by index; a gang is one item under index 0
 * @param todo indexes of tasks that are neither placed, queued nor delayed and have not succeeded
 * @param delayed indexes of failed tasks that wait before they are queued again
 * @param quickFailures failures in a row of service replicas that failed soon after their start
 * @param startedRun the newest run of a gang that this owner queued; 0 if none
 */
public record PartState(
        boolean loaded,
        PSortedMap<Integer, PlacedTask> placed,
        PSortedMap<Integer, WorkQueue.Position> queued,
        PSortedSet<Integer> todo,
        PSortedSet<Integer> delayed,
        PSortedMap<Integer, Integer> quickFailures,
        int startedRun) {
    /** Nothing is known. */
    static final PartState EMPTY =
            new PartState(
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

    PartState withPlaced(PSortedMap<Integer, PlacedTask> value) {
        return new PartState(loaded, value, queued, todo, delayed, quickFailures, startedRun);
    }

    PartState withQueued(PSortedMap<Integer, WorkQueue.Position> value) {
        return new PartState(loaded, placed, value, todo, delayed, quickFailures, startedRun);
    }

    PartState withTodo(PSortedSet<Integer> value) {
        return new PartState(loaded, placed, queued, value, delayed, quickFailures, startedRun);
    }

    PartState withDelayed(PSortedSet<Integer> value) {
        return new PartState(loaded, placed, queued, todo, value, quickFailures, startedRun);
    }

    PartState withQuickFailures(PSortedMap<Integer, Integer> value) {
        return new PartState(loaded, placed, queued, todo, delayed, value, startedRun);
    }

    PartState started(int run) {
        return new PartState(loaded, placed, queued, todo, delayed, quickFailures, run);
    }

    PartState loaded(PSortedSet<Integer> remaining) {
        return new PartState(true, placed, queued, remaining, delayed, quickFailures, startedRun);
    }
}
