package org.jujubefork.entry.peer;

import java.io.IOException;

/** A frame does not follow the protocol between entries. */
public final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what is wrong with the frame. */
    public ProtocolException(String message) {
        super(message);
    }

    /** Creates an exception with a cause. */
    public ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
