package org.jujubefork.entry.peer;

import java.io.IOException;

/** Thrown when received bytes violate the protocol between entries. */
public final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code message} says how the frame violates the protocol. */
    public ProtocolException(String message) {
        super(message);
    }

    /** Creates an exception for a frame whose decoding failed with {@code cause}. */
    public ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
