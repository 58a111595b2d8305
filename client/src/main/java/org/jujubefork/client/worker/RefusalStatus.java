package org.jujubefork.client.worker;

import org.jujubefork.core.model.StartRefusal;

/** HTTP status codes of rejected starts in the worker protocol. */
public final class RefusalStatus {
    private RefusalStatus() {}

    /**
     * Returns the HTTP status code of a response that rejects a start because of {@code refusal}.
     */
    public static int of(StartRefusal refusal) {
        return switch (refusal) {
            case STALE_EPOCH, WRONG_INCARNATION, DUPLICATE -> 409;
            case NO_CAPACITY, LEAVING, NO_SLOT -> 503;
            case INVALID -> 400;
        };
    }
}
