package org.jujubefork.core.model;

/**
 * Identifies a queue, through which callers submit work of one kind.
 *
 * @param value the identifier, not blank
 */
public record QueueId(String value) implements Comparable<QueueId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public QueueId {
        Identifiers.check("queue id", value);
    }

    /** Returns the identifier {@code value}. */
    public static QueueId of(String value) {
        return new QueueId(value);
    }

    @Override
    public int compareTo(QueueId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
