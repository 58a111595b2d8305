package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.Resources;

/**
 * What a piece of work needs of one worker.
 *
 * @param size the declared size
 * @param keepFree what has to stay free beside it
 * @param slots how many request slots it takes
 * @param keepFreeSlots how many request slots have to stay free beside it
 */
public record Demand(Resources size, Resources keepFree, int slots, int keepFreeSlots) {
    /** Returns the demand of {@code work}. */
    public static Demand of(QueuedWork work, Tuning tuning) {
        boolean request = work.kind().isRequest();
        boolean urgent = work.lane() == Lane.URGENT;
        return new Demand(
                work.size(),
                urgent ? Resources.ZERO : tuning.requestReserve(),
                request ? 1 : 0,
                request && !urgent ? tuning.reservedSlots() : 0);
    }

    /** Returns the amount that must be free on a worker. */
    public Resources needed() {
        return size.plus(keepFree);
    }

    /** Returns whether {@code worker} has enough free. */
    public boolean fits(WorkerKey worker) {
        return needed().fitsIn(worker.free())
                && (slots == 0 || worker.slots() >= slots + keepFreeSlots);
    }
}
