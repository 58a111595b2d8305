package org.jujubefork.client.store;

/** A call to the store brought no usable answer. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why the call failed. */
    public enum Kind {
        /** No connection was established. */
        NOT_CONNECTED,
        /** The connection broke, or the store answered with a server error. */
        FAILED,
        /** No complete answer came in time. */
        TIMEOUT,
        /** The store refused the call because its rate is exceeded (status 429). */
        THROTTLED,
        /** The answer does not follow the protocol. */
        MALFORMED
    }

    private final Kind kind;

    /** Creates an exception. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Creates an exception with a cause. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns why the call failed. */
    public Kind kind() {
        return kind;
    }
}
