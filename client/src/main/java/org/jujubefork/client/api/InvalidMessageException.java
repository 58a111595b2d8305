package org.jujubefork.client.api;

/**
 * A message of the API cannot be decoded; the exception's message names the field and the reason.
 */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the decoder's failure as its cause. */
    public InvalidMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
