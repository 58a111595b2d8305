package org.jujubefork.core.requests;

/** How far a caller's request has come at the entry that received it. */
public enum RequestPhase {
    /** The claim of a non-idempotent request is being written. */
    CLAIMING,
    /**
     * Another request with the same idempotency key is in progress, and its claim is read again.
     */
    WAITING,
    /** It waits or runs in a shard that this entry owns. */
    LOCAL,
    /** It was forwarded to the owner of a shard. */
    FORWARDED,
    /** It ran, and its outcome is being recorded in the claim. */
    SETTLING
}
