package org.jujubefork.core.jobs;

/**
 * A job of which the first record is being written.
 *
 * @param record the record
 * @param retryAtMillis when the write is sent again; {@link #IN_FLIGHT} while it is on its way
 * @param maybeWritten whether an earlier write may have taken effect
 */
public record Submission(JobRecord record, long retryAtMillis, boolean maybeWritten) {
    /** Stands for a write that has not been answered. */
    static final long IN_FLIGHT = Long.MAX_VALUE;
}
