package org.jujubefork.core.model;

/**
 * Identifies a worker: a backend server that runs tasks.
 *
 * @param value the identifier, not blank
 */
public record WorkerId(String value) implements Comparable<WorkerId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public WorkerId {
        Identifiers.check("worker id", value);
    }

    /** Returns the identifier {@code value}. */
    public static WorkerId of(String value) {
        return new WorkerId(value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
