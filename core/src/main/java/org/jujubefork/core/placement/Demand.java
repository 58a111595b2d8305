package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.Resources;

/**
 * What a piece of work needs of one worker.
 *
 * @param size the larger of declared and learned size
 * @param needed the size and what has to stay free beside it
 * @param slots how many request slots it takes
 * @param keepFreeSlots how many request slots have to stay free beside it
 * @param siblings where other replicas of the same service stand
 */
public record Demand(
        Resources size, Resources needed, int slots, int keepFreeSlots, Siblings siblings) {
    /**
     * Returns the demand of {@code work}, of which tasks use {@code learned} by experience. The
     * declared size counts in any case, so that no worker holds more than its capacity by declared
     * sizes.
     */
    public static Demand of(QueuedWork work, Tuning tuning, Resources learned, Siblings siblings) {
        boolean request = work.kind().isRequest();
        boolean urgent = work.lane() == Lane.URGENT;
        Resources size = work.size().max(learned);
        return new Demand(
                size,
                urgent ? size : size.plus(tuning.requestReserve()),
                request ? 1 : 0,
                request && !urgent ? tuning.reservedSlots() : 0,
                siblings);
    }

    /** Returns whether {@code worker} has enough free. */
    public boolean fits(WorkerKey worker) {
        return needed.fitsIn(worker.free())
                && (slots == 0 || worker.slots() >= slots + keepFreeSlots);
    }
}
