package org.jujubefork.entry.control;

import org.jujubefork.core.event.Event;

/** Takes events for the control thread. */
@FunctionalInterface
public interface EventSink {
    /** Hands {@code event} to the control thread; waits while its queue is full. */
    void post(Event event);

    /**
     * Hands {@code event} to the control thread without waiting, for threads that must not block.
     *
     * @return whether it was taken; a queue that is full takes none
     */
    default boolean offer(Event event) {
        post(event);
        return true;
    }
}
