package org.jujubefork.entry.control;

/** Observes the ticks of a control loop. */
@FunctionalInterface
public interface TickObserver {
    /**
     * Called on the control thread after each tick.
     *
     * @param endedAt when the tick ended, in milliseconds of the loop's clock
     * @param durationMillis how long the tick took
     * @param queuedEvents the number of events that wait
     */
    void onTick(long endedAt, long durationMillis, int queuedEvents);
}
