package org.jujubefork.core.ownership;

import org.jujubefork.core.control.State;

/** Decides when the drain of an entry is complete. */
public final class Drain {
    private Drain() {}

    /**
     * Returns whether the entry may exit: it is draining, owns no shard, has answered every request
     * that it accepted, and relays no answer of a request that still runs in a shard that the entry
     * has released.
     */
    public static boolean isComplete(State state) {
        return state.draining()
                && state.shards().isEmpty()
                && state.requests().active().isEmpty()
                && state.detachedTasks().isEmpty();
    }
}
