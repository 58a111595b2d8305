package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.Resources;

/**
 * What a piece of work needs of one worker.
 *
 * @param size the larger of declared and learned size
 * @param requiredFree the size and what has to stay free beside it
 * @param requiredSlots how many request slots it takes
 * @param reservedSlots how many request slots have to stay free beside it
 * @param replicas where other replicas of the same service stand
 */
public record Demand(
        Resources size,
        Resources requiredFree,
        int requiredSlots,
        int reservedSlots,
        ReplicaCounts replicas) {
    /**
     * Returns the demand of {@code work}, of which tasks use {@code learned} by experience. The
     * declared size counts in any case, so that no worker holds more than its capacity by declared
     * sizes.
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

    /** Returns whether {@code worker} has enough free. */
    public boolean fits(WorkerKey worker) {
        return requiredFree.fitsIn(worker.free())
                && (requiredSlots == 0 || worker.freeSlots() >= requiredSlots + reservedSlots);
    }
}
