package org.jujubefork.client.api;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Outcome;

/**
 * Client of the HTTP API of a cell. Safe for use by several threads.
 *
 * <p>All methods throw {@link ApiException} if an entry rejects the call, {@link
 * NotReachableException} if no entry returns a complete response in time, and {@link
 * InvalidMessageException} if a response cannot be decoded. Lookups and reads are retried within a
 * retry budget. Other requests are retried only if they carry an idempotency key, and then with the
 * same key.
 */
public final class ApiClient implements AutoCloseable {
    /** Margin added to the wait time of {@link #await} to get the time limit of the HTTP call. */
    private static final Duration WAIT_TIMEOUT_MARGIN = Duration.ofSeconds(5);

    private final ApiClientSettings settings;
    private final ApiTransport transport;

    private ApiClient(ApiClientSettings settings) {
        this.settings = settings;
        this.transport = new ApiTransport(settings);
    }

    /** Returns a client that the caller must close. */
    public static ApiClient of(ApiClientSettings settings) {
        return new ApiClient(settings);
    }

    /**
     * Sends an idempotent request to a queue. The request may run more than once.
     *
     * @param body JSON input of the request
     */
    public RequestResult lookup(String queue, String body)
            throws ApiException, NotReachableException, InterruptedException {
        return request(queue, body, true, Optional.empty());
    }

    /**
     * Sends a non-idempotent request to a queue. The request runs at most once per {@code
     * idempotencyKey}.
     *
     * @param body JSON input of the request
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

    /** Submits a job. The call is retried only if the job has an idempotency key. */
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
     * Waits until the job {@code id} is in a final state and returns it, or returns its current
     * state after {@code maxWait}. An entry that is draining returns the current state earlier.
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

    /** Cancels the job {@code id}. The call is idempotent. */
    public JobView cancel(String id)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(
                ApiCall.of("DELETE", ApiPaths.job(id), "", true, Optional.empty()), JobView.class);
    }

    /** Returns the configuration texts in force on the responding entry. */
    public ConfigView configuration()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.CONFIG), ConfigView.class);
    }

    /**
     * Changes the configuration. The call is not retried: if its response is lost, the version in
     * force shows whether the change took effect.
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

    /** Returns the status of the cell as seen by the responding entry. */
    public StatusView status()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.STATUS), StatusView.class);
    }

    /** Returns the evacuated zones as the responding entry on the platform knows them. */
    public EvacuationsView evacuations()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.EVACUATIONS), EvacuationsView.class);
    }

    /** Returns the workers of all shards whose owners responded. */
    public WorkersView workers()
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.WORKERS), WorkersView.class);
    }

    /**
     * Returns requests and tasks of all shards whose owners responded.
     *
     * @param filters values to match, by the keys {@code team}, {@code job}, {@code worker} and
     *     {@code queue}
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
     * Explains why an object is in its current state.
     *
     * @param subject kind of the object: {@code request}, {@code job}, {@code team} or {@code
     *     worker}
     */
    public ExplainView explain(String subject, String id)
            throws ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        return call(ApiCall.get(ApiPaths.explain(subject, id)), ExplainView.class);
    }

    /**
     * Starts draining the responding entry. The client should be configured with that entry only,
     * because otherwise another entry may receive the call.
     */
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
