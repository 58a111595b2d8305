package org.jujubefork.client.api;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Outcome;

/**
 * Calls the HTTP API of a cell. Safe for use by several threads.
 *
 * <p>All methods throw {@link ApiException} if an entry refuses the call, {@link
 * NotReachableException} if no entry gives a complete answer in time, and {@link
 * InvalidMessageException} if an answer cannot be read. Lookups and reads are retried within a
 * budget. Other requests are retried only under the same idempotency key.
 */
public final class ApiClient implements AutoCloseable {
    /** Time that the transport gets on top of the waiting time of a call. */
    private static final Duration WAIT_TIMEOUT_MARGIN = Duration.ofSeconds(5);

    private final ApiClientSettings settings;
    private final ApiTransport transport;

    private ApiClient(ApiClientSettings settings) {
        this.settings = settings;
        this.transport = new ApiTransport(settings);
    }

    /** Returns a client with {@code settings}. */
    public static ApiClient of(ApiClientSettings settings) {
        return new ApiClient(settings);
    }

    /**
     * Sends an idempotent request to a queue. It may run more than once.
     *
     * @param body the input, JSON
     */
    public RequestResult lookup(String queue, String body)
            throws ApiException, NotReachableException, InterruptedException {
        return request(queue, body, true, Optional.empty());
    }

    /**
     * Sends a non-idempotent request to a queue. It runs at most once under {@code idempotencyKey}.
     *
     * @param body the input, JSON
     */
    public RequestResult command(String queue, String body, String idempotencyKey)
            throws ApiException, NotReachableException, InterruptedException {
        return request(queue, body, false, Optional.of(idempotencyKey));
    }

    private RequestResult request(
            String queue, String body, boolean repeatable, Optional<String> key)
            throws ApiException, NotReachableException, InterruptedException {
        HttpResponse<byte[]> response =
                transport.send(ApiCall.of("POST", ApiPaths.requests(queue), body, repeatable, key));
        String outcome =
                response.headers()
                        .firstValue(ApiPaths.OUTCOME_HEADER)
                        .orElse(OutcomeNames.of(Outcome.DONE));
        return RequestResult.of(OutcomeNames.parse(outcome), response.body());
    }

    /** Submits a job. It is retried only if it has an idempotency key. */
    public JobView submit(JobRequest job)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(
                ApiCall.of("POST", ApiPaths.JOBS, json(job), false, job.idempotencyKey()),
                JobView.class);
    }

    /** Returns the job {@code id}. */
    public JobView job(String id)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.job(id)), JobView.class);
    }

    /**
     * Returns the job {@code id} at its end, or as it stands after {@code maxWait}. An entry that
     * leaves answers earlier with the job as it stands.
     */
    public JobView await(String id, Duration maxWait)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiTransport waitTransport =
                new ApiTransport(settings.withTimeout(maxWait.plus(WAIT_TIMEOUT_MARGIN)))) {
            ApiCall call = ApiCall.get(ApiPaths.jobWait(id, maxWait.toMillis()));
            return ApiCodec.decodeResponse(waitTransport.send(call).body(), JobView.class);
        }
    }

    /** Cancels the job {@code id}. Cancelling twice is the same as once. */
    public JobView cancel(String id)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(
                ApiCall.of("DELETE", ApiPaths.job(id), "", true, Optional.empty()), JobView.class);
    }

    /** Returns the configuration texts that are in force. */
    public ConfigView configuration()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.CONFIG), ConfigView.class);
    }

    /**
     * Changes the configuration. The call is not repeated: if its answer is lost, the version in
     * force tells whether it took effect.
     */
    public ApplyResult apply(ConfigApply change)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(
                ApiCall.of("PUT", ApiPaths.CONFIG, json(change), false, Optional.empty()),
                ApplyResult.class);
    }

    /** Returns the status of the cell as the answering entry sees it. */
    public StatusView status()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.STATUS), StatusView.class);
    }

    /** Returns the workers of the answering entry's shards. */
    public WorkersView workers()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.WORKERS), WorkersView.class);
    }

    /**
     * Returns requests and tasks of the answering entry's shards.
     *
     * @param filters {@code team}, {@code job}, {@code worker} or {@code queue} with its value
     */
    public TasksView tasks(Map<String, String> filters)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        StringBuilder path = new StringBuilder(ApiPaths.TASKS);
        String separator = "?";
        for (Map.Entry<String, String> filter : filters.entrySet()) {
            path.append(separator)
                    .append(ApiPaths.encode(filter.getKey()))
                    .append('=')
                    .append(ApiPaths.encode(filter.getValue()));
            separator = "&";
        }
        return call(ApiCall.get(path.toString()), TasksView.class);
    }

    /**
     * Explains a state.
     *
     * @param subject {@code request}, {@code job}, {@code team} or {@code worker}
     */
    public ExplainView explain(String subject, String id)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.explain(subject, id)), ExplainView.class);
    }

    /** Starts the planned stop of the answering entry; give the client only that one entry. */
    public DrainView drain()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(
                ApiCall.of("POST", ApiPaths.DRAIN, "", false, Optional.empty()), DrainView.class);
    }

    private <T> T call(ApiCall call, Class<T> type)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return ApiCodec.decodeResponse(transport.send(call).body(), type);
    }

    private static String json(Object message) {
        return new String(ApiCodec.encode(message), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        transport.close();
    }
}
