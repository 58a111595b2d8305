package org.jujubefork.entry.platform;

/** Thrown when a value in the store is not a valid record. */
public final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names the kind of record and the error. */
    public MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
