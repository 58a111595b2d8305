package org.jujubefork.standins.store;

/** What the store answers to a command. */
sealed interface StoreOutcome {
    /** The write took effect. */
    record Written(long revision) implements StoreOutcome {}

    /** The key has another revision. */
    record Conflict(long currentRevision) implements StoreOutcome {}

    record NoSuchKey() implements StoreOutcome {}

    record NoSuchLease() implements StoreOutcome {}

    record Leased(String id, long ttlNanos) implements StoreOutcome {}

    /** Nothing to answer. */
    record None() implements StoreOutcome {}
}
