package org.jujubefork.entry.control;

/** Reads the monotonic clock that all events of an entry carry. */
@FunctionalInterface
public interface Clock {
    /** The clock of the machine. It goes on while the process is stopped by a signal. */
    Clock SYSTEM = () -> System.nanoTime() / 1_000_000;

    /** Returns the time in milliseconds from an arbitrary origin. */
    long millis();
}
