package org.jujubefork.standins.delay;

import java.util.concurrent.TimeUnit;

/**
 * A request that was sent.
 *
 * @param target name of its target
 * @param id its identifier
 * @param plannedNanos monotonic time at which it was due to be sent
 * @param endedNanos monotonic time at which its response was complete or the connection failed
 * @param status status of the response, 0 without one
 */
record Call(String target, String id, long plannedNanos, long endedNanos, int status) {
    boolean isAnswered() {
        return status == 200;
    }

    /** Returns the time from the planned send to the end in microseconds. */
    long micros() {
        return TimeUnit.NANOSECONDS.toMicros(endedNanos - plannedNanos);
    }
}
