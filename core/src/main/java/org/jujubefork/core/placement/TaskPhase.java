package org.jujubefork.core.placement;

/** How far a task that was placed on a worker has come. */
public enum TaskPhase {
    /** The start was sent. */
    STARTING,
    /** The worker runs it. */
    RUNNING,
    /** It was told to stop or to checkpoint. */
    STOPPING,
    /**
     * Whether the worker started it is not known; its resources stay taken until the worker tells.
     */
    UNCONFIRMED
}
