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

/** Sends calls to one entry after the other until one answers. */
final class ApiTransport implements AutoCloseable {
    /** Largest answer. The largest bodies of requests have 8 MiB, lists of tasks about 5 MB. */
    private static final long MAX_RESPONSE_BYTES = 16L * 1024 * 1024;

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ApiClientSettings settings;
    private final HttpClient http;
    private final AtomicReference<RetryBudget> budget = new AtomicReference<>(RetryBudget.FULL);

    ApiTransport(ApiClientSettings settings) {
        this.settings = settings;
        this.http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(settings.connectTimeout())
                        .build();
    }

    /**
     * Sends {@code call} until an entry answers.
     *
     * <p>A refusal with the outcome "not run" speaks of its own attempt only. If the outcome of an
     * earlier attempt is unknown, that of the call is unknown too.
     *
     * <p>The next entry is tried when no connection can be made. After a connection was made, the
     * call is sent again only if it is repeatable and the retry budget allows it; the same holds
     * for answers that say "not run" and name a time for a retry.
     *
     * @throws ApiException if an entry refuses the call
     * @throws NotReachableException if no entry answers in time
     */
    HttpResponse<byte[]> send(ApiCall call)
            throws ApiException, NotReachableException, InterruptedException {
        budget.updateAndGet(RetryBudget::earned);
        long deadline = System.nanoTime() + settings.timeout().toNanos();
        boolean possiblySent = false;
        for (int attempt = 0; ; attempt++) {
            String entry = settings.entries().get(attempt % settings.entries().size());
            long delayMillis = backoffMillis(attempt);
            IOException failure;
            try {
                HttpResponse<byte[]> response = sendOnce(call, entry, remaining(deadline));
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
                if (remaining(deadline).toMillis() <= delayMillis) {
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
            if (remaining(deadline).toMillis() <= delayMillis) {
                throw notReachable(call, entry, possiblySent, failure);
            }
            TimeUnit.MILLISECONDS.sleep(delayMillis);
        }
    }

    private boolean tryConsumeRetry() {
        return budget.getAndUpdate(b -> b.allows() ? b.spent() : b).allows();
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

    /** Returns no pause while there are entries that were not tried yet. */
    private long backoffMillis(int attempt) {
        int round = (attempt + 1) / settings.entries().size();
        boolean isRoundComplete = (attempt + 1) % settings.entries().size() == 0;
        return isRoundComplete
                ? Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(round - 1, 10))
                : 0;
    }

    private static Duration remaining(long deadline) {
        return Duration.ofNanos(Math.max(1, deadline - System.nanoTime()));
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

    /** Returns the body as an error, or one that describes the answer if the body is none. */
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
                    "the answer with status "
                            + response.statusCode()
                            + " has no error body: "
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
                        + " got no answer, last tried "
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
        // The answer to every call is complete or abandoned when send returns.
        http.shutdownNow();
    }
}
