package org.jujubefork.core.model;

/**
 * Identifies a caller's request; the identifier is the same at all entries.
 *
 * @param value the identifier, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public RequestId {
        Identifiers.check("request id", value);
    }

    /** Returns the identifier {@code value}. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
