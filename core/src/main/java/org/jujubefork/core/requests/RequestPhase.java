package org.jujubefork.core.requests;

/**
 * The current step in the processing of a request at the entry that received the request from the
 * caller.
 */
public enum RequestPhase {
    /** The claim of a non-idempotent request is being written. */
    CLAIMING,
    /**
     * Another request with the same idempotency key is in progress; its claim is read repeatedly
     * until the outcome is known.
     */
    WAITING,
    /** The request waits or runs in a shard that this entry owns. */
    LOCAL,
    /** The request was forwarded to the owner of a shard. */
    FORWARDED,
    /** The request ran, and its outcome is being written to the claim. */
    SETTLING
}
