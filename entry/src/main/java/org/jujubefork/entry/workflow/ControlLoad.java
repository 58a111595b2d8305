package org.jujubefork.entry.workflow;

/**
 * The load of the control thread since {@code since}.
 *
 * @param since the start of the period, in milliseconds of the monotonic clock
 * @param ticks the number of ticks
 * @param busyMillis the time that the ticks took
 * @param longestTickMillis the duration of the longest tick
 * @param maxQueuedEvents the largest number of events that waited after a tick
 */
record ControlLoad(
        long since, int ticks, long busyMillis, long longestTickMillis, int maxQueuedEvents) {
    /** Returns the load of a period that starts at {@code since}. */
    static ControlLoad startingAt(long since) {
        return new ControlLoad(since, 0, 0, 0, 0);
    }

    /** Returns the load with one more tick. */
    ControlLoad plusTick(long durationMillis, int queuedEvents) {
        return new ControlLoad(
                since,
                ticks + 1,
                busyMillis + durationMillis,
                Math.max(longestTickMillis, durationMillis),
                Math.max(maxQueuedEvents, queuedEvents));
    }
}
