package org.jujubefork.client.worker;

/** Why a worker refused a start. A refused start has not run and will not run. */
public enum StartRefusal {
    /**
     * The command does not carry the worker's current epoch, or the lease under it has lapsed; in
     * the second case the current epoch in the answer equals the one in the command.
     */
    STALE_EPOCH(409),
    /** The worker was restarted since the incarnation that the command names. */
    WRONG_INCARNATION(409),
    /** The worker runs a task with this identifier, or remembers one that ended. */
    DUPLICATE(409),
    /** The task's size does not fit into what is free. */
    NO_CAPACITY(503),
    /** The worker is about to be removed. */
    LEAVING(503),
    /** All request slots are in use. */
    NO_SLOT(503),
    /** The command is malformed. */
    INVALID(400);

    private final int status;

    StartRefusal(int status) {
        this.status = status;
    }

    /** Returns the HTTP status code with which a worker sends this refusal. */
    public int status() {
        return status;
    }
}
