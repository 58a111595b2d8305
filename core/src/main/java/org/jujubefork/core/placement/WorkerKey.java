package org.jujubefork.core.placement;

import java.util.Comparator;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;

/**
 * A worker in an index over what is free.
 *
 * @param free what is free for any work
 * @param freeSlots how many request slots are free
 * @param worker the worker
 */
public record WorkerKey(Resources free, int freeSlots, WorkerId worker) {
    /** Orders by free processors, then memory, accelerators, slots and id. */
    static final Comparator<WorkerKey> BY_FREE =
            Comparator.<WorkerKey>comparingLong(k -> k.free().cpuMillis())
                    .thenComparingLong(k -> k.free().memoryMb())
                    .thenComparingLong(k -> k.free().accelerators())
                    .thenComparingInt(WorkerKey::freeSlots)
                    .thenComparing(WorkerKey::worker);

    /** Orders by free slots first. */
    static final Comparator<WorkerKey> BY_FREE_SLOTS =
            Comparator.comparingInt(WorkerKey::freeSlots).thenComparing(BY_FREE);

    /** Returns the key of {@code worker} as it is now. */
    static WorkerKey of(WorkerState worker) {
        return new WorkerKey(worker.available(), worker.freeSlots(), worker.id());
    }
}
