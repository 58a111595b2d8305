package org.jujubefork.client.api;

/** Error codes of {@link ErrorView}, with the HTTP status of each. */
public final class ErrorCodes {
    /** 400: the request is malformed. */
    public static final String INVALID_REQUEST = "INVALID_REQUEST";

    /** 401: the access key is missing or not in force. */
    public static final String UNAUTHORIZED = "UNAUTHORIZED";

    /** 403: the access key does not permit the operation. */
    public static final String FORBIDDEN = "FORBIDDEN";

    /** 404: no such queue, job, worker or path. */
    public static final String NOT_FOUND = "NOT_FOUND";

    /** 409: the configuration was changed concurrently; {@code changes} lists the differences. */
    public static final String VERSION_CONFLICT = "VERSION_CONFLICT";

    /**
     * 409: the idempotency key was used before, and the response to that request is no longer
     * stored.
     */
    public static final String ALREADY_DONE = "ALREADY_DONE";

    /** 413: the request body is too large. */
    public static final String TOO_LARGE = "TOO_LARGE";

    /** 422: the configuration has errors; {@code findings} lists them. */
    public static final String INVALID_CONFIGURATION = "INVALID_CONFIGURATION";

    /** 422: the request or job can never run, for example because no worker is large enough. */
    public static final String IMPOSSIBLE = "IMPOSSIBLE";

    /** 429: the queue is full, or the team is over its fair share. */
    public static final String OVERLOADED = "OVERLOADED";

    /** 502: the worker failed or the connection to it broke. */
    public static final String WORKER_FAILED = "WORKER_FAILED";

    /**
     * 503: the entry temporarily accepts no work: it is draining, or its configuration is stale.
     */
    public static final String UNAVAILABLE = "UNAVAILABLE";

    /** 503: the store is unreachable, and the operation requires it. */
    public static final String STORE_UNAVAILABLE = "STORE_UNAVAILABLE";

    /** 504: the deadline of the request passed. */
    public static final String TIMED_OUT = "TIMED_OUT";

    private ErrorCodes() {}
}
