package org.jujubefork.entry.control;

/** The monotonic clock from which the events of an entry take their times. */
@FunctionalInterface
public interface Clock {
    /** The system's monotonic clock, which also advances while a signal has stopped the process. */
    Clock SYSTEM = () -> System.nanoTime() / 1_000_000;

    /** Returns the time in milliseconds from an arbitrary origin. */
    long millis();
}
