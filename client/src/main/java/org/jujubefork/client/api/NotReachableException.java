package org.jujubefork.client.api;

import org.jujubefork.core.model.Outcome;

/** No entry returned a complete response in time. */
public final class NotReachableException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Outcome outcome;

    /**
     * Creates an exception.
     *
     * @param outcome {@link Outcome#NOT_RUN} if no connection was established, otherwise {@link
     *     Outcome#UNKNOWN}
     * @param cause failure of the last attempt
     */
    public NotReachableException(String message, Outcome outcome, Throwable cause) {
        super(message, cause);
        this.outcome = outcome;
    }

    /**
     * Returns whether the call may have taken effect: {@link Outcome#NOT_RUN} or {@link
     * Outcome#UNKNOWN}.
     */
    public Outcome outcome() {
        return outcome;
    }
}
