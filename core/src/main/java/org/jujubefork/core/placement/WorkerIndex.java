package org.jujubefork.core.placement;

import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The workers that take work, ordered by what is free, so that a placement looks at few of them.
 *
 * @param byFree ordered by free processors
 * @param byFreeSlots ordered by free request slots
 * @param byRack the workers of each rack, ordered by free processors
 */
public record WorkerIndex(
        WorkerTree byFree, WorkerTree byFreeSlots, PSortedMap<String, WorkerTree> byRack) {
    /** No worker. */
    static final WorkerIndex EMPTY =
            new WorkerIndex(
                    WorkerTree.empty(WorkerKey.BY_FREE),
                    WorkerTree.empty(WorkerKey.BY_FREE_SLOTS),
                    TreePMap.empty());

    /** Returns how many workers take work. */
    public int size() {
        return byFree.size();
    }

    /**
     * Returns this index without {@code worker}, which must be in the state in which it was added.
     */
    WorkerIndex minus(WorkerState worker) {
        if (!worker.isEligible()) {
            return this;
        }
        WorkerKey key = WorkerKey.of(worker);
        String rack = worker.listing().location().rack();
        WorkerTree remaining = byRack.get(rack).minus(key);
        return new WorkerIndex(
                byFree.minus(key),
                byFreeSlots.minus(key),
                remaining.isEmpty() ? byRack.minus(rack) : byRack.plus(rack, remaining));
    }

    /** Returns this index with {@code worker} if it takes work. */
    WorkerIndex plus(WorkerState worker) {
        if (!worker.isEligible()) {
            return this;
        }
        WorkerKey key = WorkerKey.of(worker);
        String rack = worker.listing().location().rack();
        WorkerTree members = byRack.get(rack);
        WorkerTree base = members == null ? WorkerTree.empty(WorkerKey.BY_FREE) : members;
        return new WorkerIndex(
                byFree.plus(key), byFreeSlots.plus(key), byRack.plus(rack, base.plus(key)));
    }

    /** Returns this index with {@code after} in place of {@code before}. */
    WorkerIndex replace(WorkerState before, WorkerState after) {
        boolean unchanged =
                before.isEligible()
                        && after.isEligible()
                        && WorkerKey.of(before).equals(WorkerKey.of(after))
                        && before.listing().location().equals(after.listing().location());
        return unchanged ? this : minus(before).plus(after);
    }
}
