package org.jujubefork.entry.http;

/** The body of an HTTP request is too large or truncated. */
public final class BodyException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean tooLarge;

    private BodyException(String message, boolean tooLarge) {
        super(message);
        this.tooLarge = tooLarge;
    }

    static BodyException tooLarge(int maxBytes) {
        return new BodyException("the request body is longer than " + maxBytes + " bytes", true);
    }

    static BodyException truncated(int received, long contentLength) {
        return new BodyException(
                "the request body is truncated: got "
                        + received
                        + " of "
                        + contentLength
                        + " bytes",
                false);
    }

    /** Returns true if the body is too large, false if it is truncated. */
    public boolean isTooLarge() {
        return tooLarge;
    }
}
