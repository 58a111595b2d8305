package org.jujubefork.core.model;

/** Why a worker refused to start a task. Each of them proves that the task did not start. */
public enum StartRefusal {
    /**
     * The command carried a lower epoch than the one that the worker keeps, or no lease is in
     * force.
     */
    STALE_EPOCH,
    /** The worker restarted since it was last heard from. */
    WRONG_INCARNATION,
    /** The worker already knows a task with this id. */
    DUPLICATE,
    /** The task does not fit beside the running ones. */
    NO_CAPACITY,
    /** All request slots are taken. */
    NO_SLOT,
    /** The worker takes no new work because it is leaving. */
    LEAVING,
    /** The worker could not read the command. */
    INVALID
}
