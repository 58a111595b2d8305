package org.jujubefork.core.placement;

import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The workers that accept work, ordered by free capacity, so that a placement examines only a few
 * workers.
 *
 * @param byFree ordered by free CPU
 * @param byFreeSlots ordered by free request slots
 * @param byRack the workers of each rack, ordered by free CPU
 */
public record WorkerIndex(
        WorkerTree byFree, WorkerTree byFreeSlots, PSortedMap<String, WorkerTree> byRack) {
    /** An index without workers. */
    static final WorkerIndex EMPTY =
            new WorkerIndex(
                    WorkerTree.empty(WorkerKey.BY_FREE),
                    WorkerTree.empty(WorkerKey.BY_FREE_SLOTS),
                    TreePMap.empty());

    /** Returns the number of workers that accept work. */
    public int size() {
        return byFree.size();
    }

    /**
     * Returns this index without {@code worker}, which must have the same state as when it was
     * added.
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

    /** Returns this index with {@code worker} added if it accepts work. */
    WorkerIndex plus(WorkerState worker) {
        if (!worker.isEligible()) {
            return this;
        }
        WorkerKey key = WorkerKey.of(worker);
        String rack = worker.listing().location().rack();
        WorkerTree rackWorkers = byRack.get(rack);
        WorkerTree others = rackWorkers == null ? WorkerTree.empty(WorkerKey.BY_FREE) : rackWorkers;
        return new WorkerIndex(
                byFree.plus(key), byFreeSlots.plus(key), byRack.plus(rack, others.plus(key)));
    }

    /** Returns this index with {@code after} in place of {@code before}. */
    WorkerIndex replace(WorkerState before, WorkerState after) {
        boolean isUnchanged =
                before.isEligible()
                        && after.isEligible()
                        && WorkerKey.of(before).equals(WorkerKey.of(after))
                        && before.listing().location().equals(after.listing().location());
        return isUnchanged ? this : minus(before).plus(after);
    }
}
