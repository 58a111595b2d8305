package org.jujubefork.core.model;

/**
 * Identifies a job.
 *
 * @param value the identifier, not blank
 */
public record JobId(String value) implements Comparable<JobId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public JobId {
        Identifiers.check("job id", value);
    }

    /** Returns the identifier {@code value}. */
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
