package org.jujubefork.client.api;

/** The codes in {@link ErrorView}, with the HTTP status that goes with each. */
public final class ErrorCodes {
    /** 400: the request cannot be read. */
    public static final String INVALID_REQUEST = "INVALID_REQUEST";

    /** 401: no key, or none that is in force. */
    public static final String UNAUTHORIZED = "UNAUTHORIZED";

    /** 403: the key is not allowed to do this. */
    public static final String FORBIDDEN = "FORBIDDEN";

    /** 404: no such queue, job, worker or path. */
    public static final String NOT_FOUND = "NOT_FOUND";

    /** 409: another change of the configuration came first; {@code changes} lists it. */
    public static final String VERSION_CONFLICT = "VERSION_CONFLICT";

    /** 409: the idempotency key was used before and the response of that request is not kept. */
    public static final String ALREADY_DONE = "ALREADY_DONE";

    /** 413: the body is too large. */
    public static final String TOO_LARGE = "TOO_LARGE";

    /** 422: the configuration has errors; {@code findings} lists them. */
    public static final String INVALID_CONFIGURATION = "INVALID_CONFIGURATION";

    /** 422: the work can never run, for example because no worker is large enough. */
    public static final String IMPOSSIBLE = "IMPOSSIBLE";

    /** 429: the queue is full or the team is over its part. */
    public static final String OVERLOADED = "OVERLOADED";

    /** 502: the worker failed or the connection to it broke. */
    public static final String WORKER_FAILED = "WORKER_FAILED";

    /** 503: the entry cannot take the work now: it leaves, or its configuration is not fresh. */
    public static final String UNAVAILABLE = "UNAVAILABLE";

    /** 503: the store cannot be reached and the work needs it. */
    public static final String STORE_UNAVAILABLE = "STORE_UNAVAILABLE";

    /** 504: the deadline passed. */
    public static final String TIMED_OUT = "TIMED_OUT";

    private ErrorCodes() {}
}
