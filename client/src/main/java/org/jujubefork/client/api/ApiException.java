package org.jujubefork.client.api;

/** An entry refused a call or could not complete it. */
public final class ApiException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final transient ErrorView error;

    /**
     * Creates an exception.
     *
     * @param status the HTTP status
     * @param error the body of the answer
     */
    public ApiException(int status, ErrorView error) {
        super(error.code() + " (" + status + "): " + error.message());
        this.status = status;
        this.error = error;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns what the entry answered. */
    public ErrorView error() {
        return error;
    }
}
