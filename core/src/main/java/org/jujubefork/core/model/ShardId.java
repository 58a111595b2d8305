package org.jujubefork.core.model;

/**
 * Identifies a shard: the workers of one availability zone, or a subset of them chosen by hash.
 *
 * @param value the identifier, not blank
 */
public record ShardId(String value) implements Comparable<ShardId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public ShardId {
        Identifiers.check("shard id", value);
    }

    /** Returns the identifier {@code value}. */
    public static ShardId of(String value) {
        return new ShardId(value);
    }

    @Override
    public int compareTo(ShardId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
