package org.jujubefork.config.cell;

/** Thrown when a configuration document cannot be decoded from JSON. */
public final class InvalidDocumentException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code cause} is the exception of the decoder or null. */
    public InvalidDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
