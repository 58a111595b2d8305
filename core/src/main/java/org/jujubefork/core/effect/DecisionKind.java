package org.jujubefork.core.effect;

/** The kinds of decisions that are logged and counted. */
public enum DecisionKind {
    /** A task or request was placed on a worker. */
    PLACED,
    /** A request was routed to a shard. */
    ROUTED,
    /** A request, job or task start was rejected. */
    REFUSED,
    /** A request was routed again, or a task queued again. */
    RETRIED,
    /** A task was stopped, checkpointed or throttled in favor of other work. */
    PREEMPTED,
    /** A task or request ended. */
    ENDED,
    /** This entry took over a shard. */
    SHARD_CLAIMED,
    /** This entry gave up a shard. */
    SHARD_RELEASED,
    /** A worker became eligible for new work. */
    WORKER_ACTIVE,
    /** A worker became ineligible for new work. */
    WORKER_INACTIVE,
    /** A configuration came into force. */
    CONFIGURATION,
    /** Budget of a team moved between shards. */
    BUDGET,
    /**
     * Another entry was found to be dead, or alive again, or this entry was replaced by a newer
     * incarnation.
     */
    MEMBER
}
