package org.jujubefork.core.placement;

import java.util.Comparator;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;

/**
 * The key of a worker in an index by free capacity.
 *
 * @param free the resources that are free for any work
 * @param freeSlots the number of free request slots
 * @param worker the worker
 */
public record WorkerKey(Resources free, int freeSlots, WorkerId worker) {
    /** Orders by free CPU, then memory, accelerators, slots and id. */
    static final Comparator<WorkerKey> BY_FREE =
            Comparator.<WorkerKey>comparingLong(k -> k.free().cpuMillis())
                    .thenComparingLong(k -> k.free().memoryMb())
                    .thenComparingLong(k -> k.free().accelerators())
                    .thenComparingInt(WorkerKey::freeSlots)
                    .thenComparing(WorkerKey::worker);

    /** Orders by free slots, then as {@link #BY_FREE}. */
    static final Comparator<WorkerKey> BY_FREE_SLOTS =
            Comparator.comparingInt(WorkerKey::freeSlots).thenComparing(BY_FREE);

    /** Returns the key of {@code worker} in its current state. */
    static WorkerKey of(WorkerState worker) {
        return new WorkerKey(worker.available(), worker.freeSlots(), worker.id());
    }
}
