package org.jujubefork.core.model;

/**
 * Identifies one attempt to run a task; identifiers are never reused.
 *
 * @param value the identifier, not blank
 */
public record TaskId(String value) implements Comparable<TaskId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public TaskId {
        Identifiers.check("task id", value);
    }

    /** Returns the identifier {@code value}. */
    public static TaskId of(String value) {
        return new TaskId(value);
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
