package org.jujubefork.standins.cell;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.OutcomeNames;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.fleet.Filler;

/**
 * A client that retries a request through the other entries and checks the answers. Unlike {@link
 * org.jujubefork.client.api.ApiClient}, it has no retry budget and therefore retries more often.
 */
public final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_INTERVAL_MILLIS = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private final Duration timeout;
    private final boolean newKeyOnRetry;
    private final int maxAttempts;
    private final AtomicLong brokenConnections = new AtomicLong();

    private Caller(Duration timeout, int maxAttempts, boolean newKeyOnRetry) {
        this.timeout = timeout;
        this.maxAttempts = maxAttempts;
        this.newKeyOnRetry = newKeyOnRetry;
    }

    /** Returns a caller that retries for up to {@code timeout}. */
    public static Caller of(Duration timeout) {
        return new Caller(timeout, Integer.MAX_VALUE, false);
    }

    /** Returns a caller that sends each request once and waits for up to {@code timeout}. */
    public static Caller withoutRetries(Duration timeout) {
        return new Caller(timeout, 1, false);
    }

    /**
     * Returns a caller that violates the rule for commands: each retry uses a new idempotency key.
     */
    public static Caller withNewKeyOnRetry(Duration timeout) {
        return new Caller(timeout, Integer.MAX_VALUE, true);
    }

    /**
     * A request to a queue.
     *
     * @param id unique text that the worker echoes; also the idempotency key
     * @param queue name of the queue
     * @param command whether the request is a command, which must run at most once
     * @param key access key of the team; empty to send none
     * @param runMillis how long the worker runs the request
     * @param answerBytes size of the filler in the answer
     */
    public record Request(
            String id,
            String queue,
            boolean command,
            Optional<String> key,
            long runMillis,
            int answerBytes) {}

    /** The result of one attempt, and whether the request may be retried. */
    private record Attempt(Outcome outcome, boolean retry, String reason, boolean wrongBody) {}

    /** Sends a request to the addresses in turn until it has a final answer or the time is up. */
    public CallRecord call(Request request, List<String> addresses) throws InterruptedException {
        long startedNanos = System.nanoTime();
        long deadlineNanos = startedNanos + timeout.toNanos();
        boolean anyUnknown = false;
        boolean anyWrongBody = false;
        for (int i = 0; ; i++) {
            Attempt attempt =
                    attempt(request, addresses.get(i % addresses.size()), i, deadlineNanos);
            anyUnknown |= attempt.outcome() == Outcome.UNKNOWN;
            anyWrongBody |= attempt.wrongBody();
            boolean lastAttempt =
                    i + 1 >= maxAttempts
                            || System.nanoTime() + RETRY_INTERVAL_MILLIS * 1_000_000
                                    >= deadlineNanos;
            if (attempt.outcome() == Outcome.DONE || !attempt.retry() || lastAttempt) {
                Outcome outcome =
                        attempt.outcome() != Outcome.DONE && anyUnknown
                                ? Outcome.UNKNOWN
                                : attempt.outcome();
                return new CallRecord(
                        request.id(),
                        request.queue(),
                        request.command(),
                        startedNanos,
                        System.nanoTime(),
                        outcome,
                        i + 1,
                        attempt.reason(),
                        anyWrongBody);
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
    }

    private Attempt attempt(Request request, String address, int attemptIndex, long deadlineNanos)
            throws InterruptedException {
        String key =
                newKeyOnRetry && attemptIndex > 0
                        ? request.id() + "-" + attemptIndex
                        : request.id();
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://" + address + ApiPaths.requests(request.queue())))
                        .timeout(
                                Duration.ofNanos(
                                        Math.max(1_000_000, deadlineNanos - System.nanoTime())))
                        .POST(HttpRequest.BodyPublishers.ofString(requestBody(request)));
        request.key().ifPresent(k -> builder.header("Authorization", "Bearer " + k));
        if (request.command()) {
            builder.header(ApiPaths.IDEMPOTENCY_HEADER, key);
        }
        try {
            return classify(
                    request, http.send(builder.build(), HttpResponse.BodyHandlers.ofByteArray()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new Attempt(Outcome.NOT_RUN, true, "no-connection", false);
        } catch (IOException e) {
            brokenConnections.incrementAndGet();
            return new Attempt(Outcome.UNKNOWN, true, "connection-lost", false);
        }
    }

    private Attempt classify(Request request, HttpResponse<byte[]> response) {
        if (response.headers().firstValue("Jujube-Task").equals(Optional.of("failed"))) {
            return new Attempt(Outcome.DONE, false, "task-failed", false);
        }
        if (response.statusCode() == 200) {
            boolean answerMatches = isAnswer(request, response.body());
            return new Attempt(
                    Outcome.DONE, false, answerMatches ? "" : "wrong-body", !answerMatches);
        }
        Outcome outcome =
                response.headers()
                        .firstValue(ApiPaths.OUTCOME_HEADER)
                        .map(OutcomeNames::parse)
                        .orElse(Outcome.UNKNOWN);
        String reason =
                response.headers()
                        .firstValue(ApiPaths.REASON_HEADER)
                        .orElse("status-" + response.statusCode());
        boolean retryableStatus = response.statusCode() >= 500 || response.statusCode() == 429;
        // A command may have run if its outcome is unknown, so it must not be retried then. A
        // caller that uses a new key for each retry violates this on purpose.
        boolean retry =
                retryableStatus
                        && (!request.command() || outcome == Outcome.NOT_RUN || newKeyOnRetry);
        return new Attempt(outcome, retry, reason, false);
    }

    private String requestBody(Request request) {
        return MAPPER.createObjectNode()
                .put("echo", request.id())
                .put("idempotencyKey", request.id())
                .put("runMillis", request.runMillis())
                .put("answerBytes", request.answerBytes())
                .toString();
    }

    /**
     * Returns the number of connections that were lost after a request was sent and before its
     * answer was complete.
     */
    public long brokenConnections() {
        return brokenConnections.get();
    }

    /** Returns the body of the correct answer to a request. */
    public static byte[] expectedAnswer(Request request) {
        byte[] filler = new Filler(request.id()).next(request.answerBytes());
        return MAPPER.createObjectNode()
                .put("echo", request.id())
                .put("filler", new String(filler, StandardCharsets.US_ASCII))
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns whether a body is the complete and correct answer to a request. */
    public static boolean isAnswer(Request request, byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node.path("echo").asText().equals(request.id())
                    && Filler.matches(
                            request.id(), request.answerBytes(), node.path("filler").asText());
        } catch (IOException e) {
            return false;
        }
    }
}
