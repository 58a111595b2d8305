package org.jujubefork.client.api;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RetryBudget;

/** Sends calls to the configured entries in turn until one responds. */
final class ApiTransport implements AutoCloseable {
    /**
     * Maximum size of a response body; the largest results of requests have 8 MiB, lists of tasks
     * about 5 MB.
     */
    private static final long MAX_RESPONSE_BYTES = 16L * 1024 * 1024;

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ApiClientSettings settings;
    private final HttpClient http;
    private final AtomicReference<RetryBudget> retryBudget =
            new AtomicReference<>(RetryBudget.FULL);

    ApiTransport(ApiClientSettings settings) {
        this.settings = settings;
        this.http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(settings.connectTimeout())
                        .build();
    }

    /**
     * Sends {@code call}, with retries, until an entry responds.
     *
     * <p>A rejection with the outcome "not run" applies to its own attempt only. If the outcome of
     * an earlier attempt is unknown, so is that of the call.
     *
     * <p>If no connection can be established, the next entry is tried. After a connection has been
     * established, the call is sent again only if it is repeatable and the retry budget allows it;
     * the same applies after a response with status 429 or 503 and the outcome "not run", whose
     * retry-after time is observed.
     *
     * @throws ApiException if an entry rejects the call
     * @throws NotReachableException if no entry responds in time
     */
    HttpResponse<byte[]> send(ApiCall call)
            throws ApiException, NotReachableException, InterruptedException {
        retryBudget.updateAndGet(RetryBudget::afterRequest);
        long deadlineNanos = System.nanoTime() + settings.timeout().toNanos();
        boolean possiblySent = false;
        for (int attempt = 0; ; attempt++) {
            String entry = settings.entries().get(attempt % settings.entries().size());
            long delayMillis = backoffMillis(attempt);
            IOException failure;
            try {
                HttpResponse<byte[]> response = sendOnce(call, entry, remaining(deadlineNanos));
                if (response.statusCode() < FIRST_ERROR_STATUS) {
                    return response;
                }
                ApiException rejection =
                        new ApiException(response.statusCode(), readError(response));
                if (!isRetryable(call, rejection) || !tryConsumeRetry()) {
                    throw withEarlierAttempts(possiblySent, rejection);
                }
                delayMillis =
                        Math.max(delayMillis, rejection.error().retryAfterMillis().orElse(0L));
                if (remaining(deadlineNanos).toMillis() <= delayMillis) {
                    throw withEarlierAttempts(possiblySent, rejection);
                }
                TimeUnit.MILLISECONDS.sleep(delayMillis);
                continue;
            } catch (ConnectException | HttpConnectTimeoutException e) {
                failure = e;
            } catch (IOException e) {
                possiblySent = true;
                failure = e;
                if (!call.repeatable() || !tryConsumeRetry()) {
                    throw notReachable(call, entry, true, e);
                }
            }
            if (remaining(deadlineNanos).toMillis() <= delayMillis) {
                throw notReachable(call, entry, possiblySent, failure);
            }
            TimeUnit.MILLISECONDS.sleep(delayMillis);
        }
    }

    private boolean tryConsumeRetry() {
        return retryBudget.getAndUpdate(b -> b.allowsRetry() ? b.afterRetry() : b).allowsRetry();
    }

    private HttpResponse<byte[]> sendOnce(ApiCall call, String entry, Duration remaining)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + entry + call.path()))
                        .timeout(remaining)
                        .method(call.method(), bodyPublisher(call));
        settings.key().ifPresent(key -> request.header("Authorization", "Bearer " + key));
        call.idempotencyKey().ifPresent(key -> request.header(ApiPaths.IDEMPOTENCY_HEADER, key));
        if (!call.body().isEmpty()) {
            request.header("Content-Type", call.contentType());
        }
        return http.send(
                request.build(),
                HttpResponse.BodyHandlers.limiting(
                        HttpResponse.BodyHandlers.ofByteArray(), MAX_RESPONSE_BYTES));
    }

    private static HttpRequest.BodyPublisher bodyPublisher(ApiCall call) {
        return call.body().isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(call.body());
    }

    /**
     * Returns 0 until all entries have been tried in the current round, then exponential backoff.
     */
    private long backoffMillis(int attempt) {
        int round = (attempt + 1) / settings.entries().size();
        boolean isRoundComplete = (attempt + 1) % settings.entries().size() == 0;
        return isRoundComplete
                ? Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(round - 1, 10))
                : 0;
    }

    private static Duration remaining(long deadlineNanos) {
        return Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime()));
    }

    private static ApiException withEarlierAttempts(
            boolean earlierOutcomeUnknown, ApiException rejection) {
        boolean notRun = OutcomeNames.parse(rejection.error().outcome()) == Outcome.NOT_RUN;
        return earlierOutcomeUnknown && notRun
                ? new ApiException(
                        rejection.status(), rejection.error().withOutcome(Outcome.UNKNOWN))
                : rejection;
    }

    private static boolean isRetryable(ApiCall call, ApiException rejection) {
        boolean temporary =
                rejection.status() == STATUS_TOO_MANY_REQUESTS
                        || rejection.status() == STATUS_UNAVAILABLE;
        boolean notRun = OutcomeNames.parse(rejection.error().outcome()) == Outcome.NOT_RUN;
        return temporary && notRun && call.repeatable();
    }

    /**
     * Returns the error in the body, or an error that describes the response if the body contains
     * none.
     */
    private static ErrorView readError(HttpResponse<byte[]> response) {
        try {
            return ApiCodec.decodeResponse(response.body(), ErrorView.class);
        } catch (InvalidMessageException e) {
            Optional<Outcome> headerOutcome =
                    response.headers()
                            .firstValue(ApiPaths.OUTCOME_HEADER)
                            .flatMap(ApiTransport::parseOutcome);
            return ErrorView.of(
                    ErrorCodes.UNAVAILABLE,
                    "response with status "
                            + response.statusCode()
                            + " has no valid error body: "
                            + e.getMessage(),
                    headerOutcome.orElse(Outcome.UNKNOWN));
        }
    }

    private static Optional<Outcome> parseOutcome(String name) {
        try {
            return Optional.of(OutcomeNames.parse(name));
        } catch (IllegalArgumentException _) {
            return Optional.empty();
        }
    }

    private static NotReachableException notReachable(
            ApiCall call, String entry, boolean possiblySent, IOException cause) {
        Outcome outcome = possiblySent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return new NotReachableException(
                call.method()
                        + " "
                        + call.path()
                        + " received no complete response, last tried entry "
                        + entry
                        + ", outcome "
                        + OutcomeNames.of(outcome)
                        + ": "
                        + cause,
                outcome,
                cause);
    }

    @Override
    public void close() {
        // No response is still in transfer: send has completed or abandoned each before it returns.
        http.shutdownNow();
    }
}
