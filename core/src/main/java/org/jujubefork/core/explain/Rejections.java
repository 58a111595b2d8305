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
 * @param considered workers of the shard
 * @param fitting workers on which it fits
 * @param unreachable workers without a lease
 * @param leaving workers that take no new work because they leave
 * @param quarantined workers that take no work because they fail what they start
 * @param tooSmall workers that are too small even when they are empty
 * @param withoutSlot workers on which the size fits, but no request slot is free
 * @param full workers that have too little free
 */
public record Rejections(
        int considered,
        int fitting,
        int unreachable,
        int leaving,
        int quarantined,
        int tooSmall,
        int withoutSlot,
        int full) {
    /** Counts the workers of {@code shard} for {@code demand}. */
    public static Rejections of(ShardState shard, Demand demand) {
        int[] counts = new int[Verdict.values().length];
        for (WorkerState worker : shard.workers().values()) {
            counts[judge(worker, demand).ordinal()]++;
        }
        return new Rejections(
                shard.workers().size(),
                counts[Verdict.FITS.ordinal()],
                counts[Verdict.UNREACHABLE.ordinal()],
                counts[Verdict.LEAVING.ordinal()],
                counts[Verdict.QUARANTINED.ordinal()],
                counts[Verdict.TOO_SMALL.ordinal()],
                counts[Verdict.WITHOUT_SLOT.ordinal()],
                counts[Verdict.FULL.ordinal()]);
    }

    /** Returns how many workers take no work at all. */
    public int unavailable() {
        return unreachable + leaving + quarantined;
    }

    private enum Verdict {
        FITS,
        UNREACHABLE,
        LEAVING,
        QUARANTINED,
        TOO_SMALL,
        WITHOUT_SLOT,
        FULL
    }

    private static Verdict judge(WorkerState worker, Demand demand) {
        Resources needed = demand.requiredFree();
        if (!needed.fitsIn(worker.capacity())) {
            return Verdict.TOO_SMALL;
        }
        if (worker.phase() != WorkerPhase.ACTIVE) {
            return Verdict.UNREACHABLE;
        }
        if (!worker.isEligible()) {
            return worker.leaving() ? Verdict.LEAVING : Verdict.QUARANTINED;
        }
        WorkerKey key = new WorkerKey(worker.free(), worker.freeSlots(), worker.id());
        if (demand.fits(key)) {
            return Verdict.FITS;
        }
        return needed.fitsIn(worker.free()) ? Verdict.WITHOUT_SLOT : Verdict.FULL;
    }
}
