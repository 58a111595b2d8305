package org.jujubefork.core.effect;

/** What a decision in the log is about. */
public enum DecisionKind {
    /** A task or request was placed on a worker. */
    PLACED,
    /** A request was routed to a shard. */
    ROUTED,
    /** Work was refused. */
    REFUSED,
    /** A request was routed again, or a task queued again. */
    RETRIED,
    /** A task was stopped or checkpointed for other work. */
    PREEMPTED,
    /** A task or request ended. */
    ENDED,
    /** This entry took over a shard. */
    SHARD_CLAIMED,
    /** This entry gave up a shard. */
    SHARD_RELEASED,
    /** A worker takes work. */
    WORKER_ACTIVE,
    /** A worker takes no work for now. */
    WORKER_INACTIVE,
    /** A configuration came into force. */
    CONFIGURATION,
    /** Budget moved. */
    BUDGET,
    /** Another entry was found dead or alive. */
    MEMBER
}
