package org.jujubefork.client.api;

/** A message of the API cannot be read; the message text names field and reason. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the decoder's failure as its cause. */
    public InvalidMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
