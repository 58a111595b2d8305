package org.jujubefork.core.placement;

/** The phase of a task that was placed on a worker. */
public enum TaskPhase {
    /** The start command was sent and not yet confirmed. */
    STARTING,
    /** The worker confirmed the start or reported the task as running. */
    RUNNING,
    /** A stop or checkpoint command was sent. */
    STOPPING,
    /**
     * It is not known whether the worker started the task. Its resources stay allocated until the
     * worker reports or confirms the stop, or its lease expires.
     */
    UNCONFIRMED
}
