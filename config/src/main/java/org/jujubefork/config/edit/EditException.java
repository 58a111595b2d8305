package org.jujubefork.config.edit;

/** A text cannot be edited as asked; the message names the reason. */
public final class EditException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the reason. */
    public EditException(String message) {
        super(message);
    }
}
