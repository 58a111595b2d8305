package org.jujubefork.client.api;

/** An entry rejected a call or could not complete it. */
public final class ApiException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final transient ErrorView error;

    /**
     * Creates an exception.
     *
     * @param status HTTP status code
     * @param error body of the response
     */
    public ApiException(int status, ErrorView error) {
        super(error.code() + " (" + status + "): " + error.message());
        this.status = status;
        this.error = error;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }

    /** Returns the error that the entry returned. */
    public ErrorView error() {
        return error;
    }
}
