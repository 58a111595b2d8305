package org.jujubefork.core.model;

/** Reasons why a worker refused to start a task. Each reason proves that the task did not start. */
public enum StartRefusal {
    /**
     * The command carried a lower epoch than the highest epoch that the worker has accepted, or no
     * lease is in force.
     */
    STALE_EPOCH,
    /**
     * The command was sent for an earlier incarnation of the worker, which has restarted since its
     * last report.
     */
    WRONG_INCARNATION,
    /** The worker already has a task with this identifier. */
    DUPLICATE,
    /** The free capacity of the worker is too small for the task. */
    NO_CAPACITY,
    /** All request slots of the worker are in use. */
    NO_SLOT,
    /** The worker accepts no new work because it is about to leave. */
    LEAVING,
    /** The worker could not parse or validate the command. */
    INVALID
}
