package org.jujubefork.core.explain;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.placement.Demand;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerKey;
import org.jujubefork.core.placement.WorkerPhase;
import org.jujubefork.core.placement.WorkerState;

/**
 * How many workers of a shard were rejected for a piece of work, by reason.
 *
 * @param total workers of the shard
 * @param fitting workers on which it fits
 * @param unreachable workers without a lease
 * @param leaving workers that take no new work because they leave
 * @param quarantined workers that take no work because they fail what they start
 * @param tooSmall workers that are too small even when they are empty
 * @param withoutFreeSlot workers on which the size fits, but no request slot is free
 * @param withoutFreeCapacity workers that have too little free
 */
public record RejectionCounts(
        int total,
        int fitting,
        int unreachable,
        int leaving,
        int quarantined,
        int tooSmall,
        int withoutFreeSlot,
        int withoutFreeCapacity) {
    /** Counts the workers of {@code shard} for {@code demand}. */
    public static RejectionCounts of(ShardState shard, Demand demand) {
        int[] counts = new int[RejectionReason.values().length];
        for (WorkerState worker : shard.workers().values()) {
            counts[rejectionReason(worker, demand).ordinal()]++;
        }
        return new RejectionCounts(
                shard.workers().size(),
                counts[RejectionReason.NONE.ordinal()],
                counts[RejectionReason.UNREACHABLE.ordinal()],
                counts[RejectionReason.LEAVING.ordinal()],
                counts[RejectionReason.QUARANTINED.ordinal()],
                counts[RejectionReason.TOO_SMALL.ordinal()],
                counts[RejectionReason.NO_FREE_SLOT.ordinal()],
                counts[RejectionReason.NO_FREE_CAPACITY.ordinal()]);
    }

    /** Returns how many workers take no work at all. */
    public int unavailable() {
        return unreachable + leaving + quarantined;
    }

    private enum RejectionReason {
        NONE,
        UNREACHABLE,
        LEAVING,
        QUARANTINED,
        TOO_SMALL,
        NO_FREE_SLOT,
        NO_FREE_CAPACITY
    }

    private static RejectionReason rejectionReason(WorkerState worker, Demand demand) {
        Resources needed = demand.needed();
        if (!needed.fitsIn(worker.capacity())) {
            return RejectionReason.TOO_SMALL;
        }
        if (worker.phase() != WorkerPhase.ACTIVE) {
            return RejectionReason.UNREACHABLE;
        }
        if (!worker.isEligible()) {
            return worker.leaving() ? RejectionReason.LEAVING : RejectionReason.QUARANTINED;
        }
        WorkerKey key = new WorkerKey(worker.free(), worker.freeSlots(), worker.id());
        if (demand.fits(key)) {
            return RejectionReason.NONE;
        }
        return needed.fitsIn(worker.free())
                ? RejectionReason.NO_FREE_SLOT
                : RejectionReason.NO_FREE_CAPACITY;
    }
}
