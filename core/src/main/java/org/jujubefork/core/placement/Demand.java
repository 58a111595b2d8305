package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.Resources;

/**
 * The free capacity that a worker must have for one task or request.
 *
 * @param size the larger of the declared and the learned size
 * @param requiredFree the resources that must be free: the size, plus the part that is reserved for
 *     urgent requests unless the work itself is urgent
 * @param requiredSlots the request slots that it occupies
 * @param reservedSlots the request slots that must remain free beside it
 * @param replicas the number of other replicas of the same service by rack and worker
 */
public record Demand(
        Resources size,
        Resources requiredFree,
        int requiredSlots,
        int reservedSlots,
        ReplicaCounts replicas) {
    /**
     * Returns the demand of {@code work}, whose learned size is {@code learned}. A learned size
     * below the declared size does not reduce the demand, so that the declared sizes on a worker
     * never exceed its capacity.
     */
    public static Demand of(
            QueuedWork work, Tuning tuning, Resources learned, ReplicaCounts replicas) {
        boolean request = work.kind().isRequest();
        boolean urgent = work.lane() == Lane.URGENT;
        Resources size = work.size().max(learned);
        return new Demand(
                size,
                urgent ? size : size.plus(tuning.requestReserve()),
                request ? 1 : 0,
                request && !urgent ? tuning.reservedSlots() : 0,
                replicas);
    }

    /** Returns whether {@code worker} has enough free resources and request slots. */
    public boolean fits(WorkerKey worker) {
        return requiredFree.fitsIn(worker.free())
                && (requiredSlots == 0 || worker.freeSlots() >= requiredSlots + reservedSlots);
    }
}
