package org.jujubefork.client.worker;

/** Why a task ended. */
public enum EndReason {
    /** It completed. */
    SUCCEEDED,
    /** It failed by itself. */
    FAILED,
    /** A stop command ended it. */
    STOPPED,
    /** A checkpoint command ended it; its progress is kept. */
    CHECKPOINTED,
    /** The worker's lease lapsed. */
    LEASE_EXPIRED
}
