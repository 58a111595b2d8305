package org.jujubefork.core.ownership;

import org.jujubefork.core.control.State;

/** Tells how far an entry that is stopping has come. */
public final class Drain {
    private Drain() {}

    /**
     * Returns whether the entry may exit: it is stopping, owns no shard, has answered every request
     * that it accepted, and relays no response of a request that runs in a shard it has handed
     * over.
     */
    public static boolean isComplete(State state) {
        return state.draining()
                && state.shards().isEmpty()
                && state.requests().active().isEmpty()
                && state.detachedTasks().isEmpty();
    }
}
