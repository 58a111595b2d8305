package org.jujubefork.core.placement;

/** Whether the owner may place work on a worker. */
public enum WorkerPhase {
    /** The lease was requested and not yet granted. */
    ACQUIRING,
    /** The lease is held. */
    ACTIVE,
    /**
     * The worker did not answer or rejected a start; its tasks may still run until the lease
     * expires.
     */
    UNREACHABLE
}
