package org.jujubefork.core.placement;

/** Whether an owner may place on a worker. */
public enum WorkerPhase {
    /** The lease was asked for and not yet granted. */
    ACQUIRING,
    /** The lease is held. */
    ACTIVE,
    /** The worker did not answer; its tasks may still run until the lease is over. */
    UNREACHABLE
}
