package org.jujubefork.client.api;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Paths and headers of the API. */
public final class ApiPaths {
    /** Requests: {@code /v1/queues/QUEUE/requests}. */
    public static final String QUEUES = "/v1/queues/";

    /** Jobs. */
    public static final String JOBS = "/v1/jobs";

    /** Texts of the configuration. */
    public static final String CONFIG = "/v1/admin/config";

    /** Status of the cell as one entry sees it. */
    public static final String STATUS = "/v1/admin/status";

    /** Workers of one entry's shards. */
    public static final String WORKERS = "/v1/admin/workers";

    /** Requests and tasks of one entry's shards. */
    public static final String TASKS = "/v1/admin/tasks";

    /** Why something is in the state it is in. */
    public static final String EXPLAIN = "/v1/admin/explain";

    /** Planned stop of one entry. */
    public static final String DRAIN = "/v1/admin/drain";

    /** Header with the outcome of a request, see {@link OutcomeNames}. */
    public static final String OUTCOME_HEADER = "Jujube-Outcome";

    /** Header with the reason of an outcome. */
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

    /** Returns the path for waiting up to {@code timeoutMillis} for the end of the job. */
    public static String jobWait(String id, long timeoutMillis) {
        return job(id) + "/wait?timeoutMillis=" + timeoutMillis;
    }

    /** Returns the path that explains the request, job, team or worker {@code id}. */
    public static String explain(String subject, String id) {
        return EXPLAIN + "?subject=" + encode(subject) + "&id=" + encode(id);
    }

    /** Returns {@code text} with all characters escaped that are not allowed in a path segment. */
    public static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
