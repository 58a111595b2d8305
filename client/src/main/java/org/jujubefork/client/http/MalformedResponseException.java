package org.jujubefork.client.http;

/** A response does not conform to the protocol. */
public final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message describes the defect in the response. */
    public MalformedResponseException(String message) {
        super(message);
    }

    /** Creates an exception with the parser's failure as cause. */
    public MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
