package org.jujubefork.entry.platform;

/** A value in the store does not have the form that entries write. */
public final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what is wrong. */
    public MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
