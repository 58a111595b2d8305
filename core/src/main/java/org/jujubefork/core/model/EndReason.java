package org.jujubefork.core.model;

/** Why a task ended on a worker. */
public enum EndReason {
    /** The task ran to its end. */
    SUCCEEDED,
    /** The task failed by itself. */
    FAILED,
    /** The owner stopped the task. */
    STOPPED,
    /** The owner had the task checkpointed, to continue elsewhere. */
    CHECKPOINTED,
    /** The worker heard from no owner for the lease's TTL and stopped the task. */
    LEASE_EXPIRED
}
