package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.Resources;

/**
 * The free capacity that a worker must have for one task or request.
 *
 * @param size the larger of the declared and the learned size
 * @param requiredFree the resources that must be free: the size, plus the part that is reserved for
 *     urgent requests unless the work itself is urgent
 * @param requiredSlots the request slots that the work occupies
 * @param reservedSlots the request slots that must remain free on the worker beside those that the
 *     work occupies
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
        boolean isRequest = work.kind().isRequest();
        boolean isUrgent = work.lane() == Lane.URGENT;
        Resources size = work.size().max(learned);
        return new Demand(
                size,
                isUrgent ? size : size.plus(tuning.requestReserve()),
                isRequest ? 1 : 0,
                isRequest && !isUrgent ? tuning.reservedSlots() : 0,
                replicas);
    }

    /** Returns whether {@code worker} has enough free resources and request slots. */
    public boolean fits(WorkerKey worker) {
        return requiredFree.fitsIn(worker.free())
                && (requiredSlots == 0 || worker.freeSlots() >= requiredSlots + reservedSlots);
    }
}
