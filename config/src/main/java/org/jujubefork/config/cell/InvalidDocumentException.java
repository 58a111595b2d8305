package org.jujubefork.config.cell;

/** A stored configuration document cannot be decoded. */
public final class InvalidDocumentException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the decoder's failure as its cause. */
    public InvalidDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
