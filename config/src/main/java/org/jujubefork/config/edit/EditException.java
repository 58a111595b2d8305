package org.jujubefork.config.edit;

/** Thrown when a requested edit cannot be applied to a base file; the message gives the reason. */
public final class EditException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message is the reason, for the operator. */
    public EditException(String message) {
        super(message);
    }
}
