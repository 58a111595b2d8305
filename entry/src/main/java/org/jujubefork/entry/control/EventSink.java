package org.jujubefork.entry.control;

import org.jujubefork.core.event.Event;

/** Accepts events for the control thread. */
@FunctionalInterface
public interface EventSink {
    /** Queues {@code event} for the control thread; blocks while the queue is full. */
    void post(Event event);

    /**
     * Queues {@code event} for the control thread, for callers that must not block. The default
     * implementation calls {@link #post}.
     *
     * @return whether the event was accepted; false if the queue is full
     */
    default boolean offer(Event event) {
        post(event);
        return true;
    }
}
