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
 * A caller that repeats a request through the other entries and judges the answers. In contrast to
 * the project's client it has no retry budget, so that it repeats more often.
 */
public final class Caller {
    private static final Duration CONNECT = Duration.ofSeconds(1);
    private static final long PAUSE_MILLIS = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT)
                    .build();
    private final Duration patience;
    private final boolean newKeyOnRetry;
    private final int maxAttempts;
    private final AtomicLong broken = new AtomicLong();

    private Caller(Duration patience, int maxAttempts, boolean newKeyOnRetry) {
        this.patience = patience;
        this.maxAttempts = maxAttempts;
        this.newKeyOnRetry = newKeyOnRetry;
    }

    /** Returns a caller that repeats for up to {@code patience}. */
    public static Caller of(Duration patience) {
        return new Caller(patience, Integer.MAX_VALUE, false);
    }

    /** Returns a caller that sends each request once and waits for up to {@code patience}. */
    public static Caller once(Duration patience) {
        return new Caller(patience, 1, false);
    }

    /** Returns a caller that breaks the rule: it repeats commands under a new key. */
    public static Caller withNewKeyOnRetry(Duration patience) {
        return new Caller(patience, Integer.MAX_VALUE, true);
    }

    /**
     * A request.
     *
     * @param id unique text
     */
    public record Request(
            String id,
            String queue,
            boolean command,
            Optional<String> key,
            long runMillis,
            int answerBytes) {}

    private record Attempt(Outcome outcome, boolean retry, String reason, boolean wrongBody) {}

    /** Sends a request, first to the first address, until it is answered for good. */
    public CallRecord call(Request request, List<String> addresses) throws InterruptedException {
        long began = System.nanoTime();
        long deadline = began + patience.toNanos();
        boolean unknown = false;
        boolean wrongBody = false;
        for (int i = 0; ; i++) {
            Attempt attempt = attempt(request, addresses.get(i % addresses.size()), i, deadline);
            unknown |= attempt.outcome() == Outcome.UNKNOWN;
            wrongBody |= attempt.wrongBody();
            boolean late =
                    i + 1 >= maxAttempts
                            || System.nanoTime() + PAUSE_MILLIS * 1_000_000 >= deadline;
            if (attempt.outcome() == Outcome.DONE || !attempt.retry() || late) {
                Outcome outcome =
                        attempt.outcome() != Outcome.DONE && unknown
                                ? Outcome.UNKNOWN
                                : attempt.outcome();
                return new CallRecord(
                        request.id(),
                        request.queue(),
                        request.command(),
                        began,
                        System.nanoTime(),
                        outcome,
                        i + 1,
                        attempt.reason(),
                        wrongBody);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private Attempt attempt(Request request, String address, int number, long deadline)
            throws InterruptedException {
        String key = newKeyOnRetry && number > 0 ? request.id() + "-" + number : request.id();
        HttpRequest.Builder message =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://" + address + ApiPaths.requests(request.queue())))
                        .timeout(
                                Duration.ofNanos(Math.max(1_000_000, deadline - System.nanoTime())))
                        .POST(HttpRequest.BodyPublishers.ofString(body(request)));
        request.key().ifPresent(k -> message.header("Authorization", "Bearer " + k));
        if (request.command()) {
            message.header(ApiPaths.IDEMPOTENCY_HEADER, key);
        }
        try {
            return judge(
                    request, http.send(message.build(), HttpResponse.BodyHandlers.ofByteArray()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new Attempt(Outcome.NOT_RUN, true, "no-connection", false);
        } catch (IOException e) {
            broken.incrementAndGet();
            return new Attempt(Outcome.UNKNOWN, true, "connection-lost", false);
        }
    }

    private Attempt judge(Request request, HttpResponse<byte[]> response) {
        if (response.headers().firstValue("Jujube-Task").equals(Optional.of("failed"))) {
            return new Attempt(Outcome.DONE, false, "task-failed", false);
        }
        if (response.statusCode() == 200) {
            boolean right = isAnswer(request, response.body());
            return new Attempt(Outcome.DONE, false, right ? "" : "wrong-body", !right);
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
        boolean temporary = response.statusCode() >= 500 || response.statusCode() == 429;
        // A command whose outcome an entry calls unknown stays unknown, unless its key is unused.
        boolean retry =
                temporary && (!request.command() || outcome == Outcome.NOT_RUN || newKeyOnRetry);
        return new Attempt(outcome, retry, reason, false);
    }

    private String body(Request request) {
        return MAPPER.createObjectNode()
                .put("echo", request.id())
                .put("idempotencyKey", request.id())
                .put("runMillis", request.runMillis())
                .put("answerBytes", request.answerBytes())
                .toString();
    }

    /** Returns how many connections broke after a request was sent and before its answer. */
    public long brokenConnections() {
        return broken.get();
    }

    /** Returns what a worker answers to a request. */
    public static byte[] answerTo(Request request) {
        byte[] filler = new Filler(request.id()).next(request.answerBytes());
        return MAPPER.createObjectNode()
                .put("echo", request.id())
                .put("filler", new String(filler, StandardCharsets.US_ASCII))
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns whether a body is the whole answer to a request. */
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
