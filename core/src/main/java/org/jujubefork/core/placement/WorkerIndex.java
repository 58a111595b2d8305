package org.jujubefork.core.placement;

import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * The workers that take work, ordered by what is free, so that a placement looks at few of them.
 *
 * @param byFree ordered by free processors
 * @param bySlots ordered by free request slots
 */
public record WorkerIndex(PSortedSet<WorkerKey> byFree, PSortedSet<WorkerKey> bySlots) {
    /** No worker. */
    static final WorkerIndex EMPTY =
            new WorkerIndex(TreePSet.empty(WorkerKey.BY_FREE), TreePSet.empty(WorkerKey.BY_SLOTS));

    /**
     * Returns this index without {@code worker}, which must be in the state in which it was added.
     */
    WorkerIndex minus(WorkerState worker) {
        if (!worker.isEligible()) {
            return this;
        }
        WorkerKey key = WorkerKey.of(worker);
        return new WorkerIndex(byFree.minus(key), bySlots.minus(key));
    }

    /** Returns this index with {@code worker} if it takes work. */
    WorkerIndex plus(WorkerState worker) {
        if (!worker.isEligible()) {
            return this;
        }
        WorkerKey key = WorkerKey.of(worker);
        return new WorkerIndex(byFree.plus(key), bySlots.plus(key));
    }
}
