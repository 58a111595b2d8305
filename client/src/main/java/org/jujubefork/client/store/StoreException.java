package org.jujubefork.client.store;

/** A call to the store returned no usable response. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Cause of a failed call. */
    public enum Kind {
        /** No connection was established. */
        NOT_CONNECTED,
        /** The connection broke, or the store returned a server error. */
        FAILED,
        /** No complete response was received in time. */
        TIMEOUT,
        /** The store rejected the call because its rate limit is exceeded (status 429). */
        THROTTLED,
        /** The response does not conform to the protocol. */
        MALFORMED
    }

    private final Kind kind;

    /** Creates an exception. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Creates an exception caused by a malformed response. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns the cause by which callers decide whether to retry. */
    public Kind kind() {
        return kind;
    }
}
