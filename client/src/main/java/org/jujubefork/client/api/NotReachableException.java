package org.jujubefork.client.api;

import org.jujubefork.core.model.Outcome;

/** No entry gave a complete answer in time. */
public final class NotReachableException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Outcome outcome;

    /**
     * Creates an exception.
     *
     * @param outcome {@link Outcome#NOT_RUN} if no connection was ever made, otherwise {@link
     *     Outcome#UNKNOWN}
     * @param cause the last failure
     */
    public NotReachableException(String message, Outcome outcome, Throwable cause) {
        super(message, cause);
        this.outcome = outcome;
    }

    /** Returns what is known about the call. */
    public Outcome outcome() {
        return outcome;
    }
}
