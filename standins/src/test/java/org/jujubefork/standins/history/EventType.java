package org.jujubefork.standins.history;

/** Kinds of recorded events. */
public enum EventType {
    /** A worker begins an incarnation without tasks; carries its capacity. */
    WORKER,
    /**
     * A worker's process was killed, which ends its tasks; written by the test that kills it,
     * because a killed process records no ends.
     */
    WORKER_DOWN,
    /** A worker takes an epoch. */
    LEASE,
    /** A task starts. */
    START,
    /** A task ends; carries the reason. */
    END,
    /** A worker refuses a command; carries the reason. */
    REFUSAL,
    /** A start made the declared sizes exceed the worker's capacity. */
    OVERCOMMIT,
    /** The store wrote a key. */
    STORE_WRITE,
    /** The store deleted a key, also when a lease expired. */
    STORE_DELETE
}
