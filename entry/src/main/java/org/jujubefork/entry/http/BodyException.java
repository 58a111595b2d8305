package org.jujubefork.entry.http;

/** The body of an HTTP request cannot be used. */
public final class BodyException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean tooLarge;

    private BodyException(String message, boolean tooLarge) {
        super(message);
        this.tooLarge = tooLarge;
    }

    static BodyException tooLarge(int maxBytes) {
        return new BodyException("the body is longer than " + maxBytes + " bytes", true);
    }

    static BodyException truncated(int received, long announced) {
        return new BodyException(
                "the body ends after " + received + " of " + announced + " bytes", false);
    }

    /** Returns whether the body is too large; otherwise it is truncated. */
    public boolean isTooLarge() {
        return tooLarge;
    }
}
