package org.jujubefork.client.worker;

import org.jujubefork.core.model.StartRefusal;

/** The HTTP status codes of refusals in the workers' protocol. */
public final class RefusalStatus {
    private RefusalStatus() {}

    /** Returns the HTTP status code with which a worker sends {@code refusal}. */
    public static int of(StartRefusal refusal) {
        return switch (refusal) {
            case STALE_EPOCH, WRONG_INCARNATION, DUPLICATE -> 409;
            case NO_CAPACITY, LEAVING, NO_SLOT -> 503;
            case INVALID -> 400;
        };
    }
}
