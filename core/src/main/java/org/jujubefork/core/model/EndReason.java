package org.jujubefork.core.model;

/** Why a task ended on a worker. */
public enum EndReason {
    /** The task ran to completion. */
    SUCCEEDED,
    /** The task reported a failure. */
    FAILED,
    /** The owner of the shard stopped the task. */
    STOPPED,
    /** The task was checkpointed at the command of the shard's owner and can continue elsewhere. */
    CHECKPOINTED,
    /** The lease on the worker expired without renewal, so the worker stopped the task. */
    LEASE_EXPIRED
}
