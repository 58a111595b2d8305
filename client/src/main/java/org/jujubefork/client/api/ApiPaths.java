package org.jujubefork.client.api;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Paths and header names of the API. */
public final class ApiPaths {
    /** Prefix of the path of requests, {@code /v1/queues/QUEUE/requests}. */
    public static final String QUEUES = "/v1/queues/";

    /** Submits jobs; with a job identifier appended, reads or cancels the job. */
    public static final String JOBS = "/v1/jobs";

    /** Reads or changes the configuration texts. */
    public static final String CONFIG = "/v1/admin/config";

    /** Shows the evacuated zones; served by entries on the platform. */
    public static final String EVACUATIONS = "/v1/evacuations";

    /** Status of the cell as seen by one entry. */
    public static final String STATUS = "/v1/admin/status";

    /** Lists workers. */
    public static final String WORKERS = "/v1/admin/workers";

    /** Lists requests and tasks. */
    public static final String TASKS = "/v1/admin/tasks";

    /** Explains why a request, job, team or worker is in its current state. */
    public static final String EXPLAIN = "/v1/admin/explain";

    /** Starts draining the entry. */
    public static final String DRAIN = "/v1/admin/drain";

    /** Header with the outcome of a request, see {@link OutcomeNames}. */
    public static final String OUTCOME_HEADER = "Jujube-Outcome";

    /** Header with the reason for an outcome. */
    public static final String REASON_HEADER = "Jujube-Reason";

    /** Header with the key under which a request is executed at most once. */
    public static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

    private ApiPaths() {}

    /** Returns the path for requests to {@code queue}. */
    public static String requests(String queue) {
        return QUEUES + encode(queue) + "/requests";
    }

    /** Returns the path of the job {@code id}. */
    public static String job(String id) {
        return JOBS + "/" + encode(id);
    }

    /**
     * Returns the path for waiting up to {@code timeoutMillis} for the job to reach a final state.
     */
    public static String jobWait(String id, long timeoutMillis) {
        return job(id) + "/wait?timeoutMillis=" + timeoutMillis;
    }

    /** Returns the path that explains the request, job, team or worker {@code id}. */
    public static String explain(String subject, String id) {
        return EXPLAIN + "?subject=" + encode(subject) + "&id=" + encode(id);
    }

    /** Returns {@code text} percent-encoded for a path segment or a query. */
    public static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
