package org.jujubefork.client.http;

/** An answer does not have the form that the protocol prescribes. */
public final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names what is wrong with the answer. */
    public MalformedResponseException(String message) {
        super(message);
    }

    /** Creates an exception with the parser's failure as cause. */
    public MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
