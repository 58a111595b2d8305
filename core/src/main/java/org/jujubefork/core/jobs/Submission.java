package org.jujubefork.core.jobs;

/**
 * A new job whose first record is being written.
 *
 * @param record the record to be written
 * @param retryAtMillis when the write is retried; {@link #IN_FLIGHT} while a write is in flight
 * @param maybeWritten whether an earlier write may have taken effect
 */
public record Submission(JobRecord record, long retryAtMillis, boolean maybeWritten) {
    /** Value of {@code retryAtMillis} while the store has not responded to a write. */
    static final long IN_FLIGHT = Long.MAX_VALUE;
}
