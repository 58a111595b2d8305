package org.jujubefork.core.explain;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.placement.Demand;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerKey;
import org.jujubefork.core.placement.WorkerPhase;
import org.jujubefork.core.placement.WorkerState;

/**
 * Number of workers of a shard that cannot run a given request or task, by reason.
 *
 * @param total number of workers of the shard
 * @param fitting number of workers on which the request or task fits now
 * @param unreachable number of workers that are unreachable or not yet acquired
 * @param leaving number of workers that accept no new work because they are about to leave the
 *     fleet
 * @param quarantined number of workers that get no work because too many tasks failed on them
 * @param tooSmall number of workers that are too small even when idle
 * @param withoutFreeSlot number of workers with enough free capacity but no free request slot
 * @param withoutFreeCapacity number of workers with too little free capacity
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
    /**
     * Counts the workers of {@code shard} by the reason why {@code demand} does not fit on them.
     */
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

    /** Returns the number of workers that accept no work of any size. */
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
        Resources requiredFree = demand.requiredFree();
        if (!requiredFree.fitsIn(worker.capacity())) {
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
        return requiredFree.fitsIn(worker.free())
                ? RejectionReason.NO_FREE_SLOT
                : RejectionReason.NO_FREE_CAPACITY;
    }
}
