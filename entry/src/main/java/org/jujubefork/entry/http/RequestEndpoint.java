package org.jujubefork.entry.http;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.client.api.OutcomeNames;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.control.State;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.entry.answers.Answer;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.answers.TaskFailure;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EventSink;

/** Accepts short requests and sends their responses. */
public final class RequestEndpoint implements Endpoint {
    /** Time for which the connection stays open after the deadline of its request. */
    private static final long RESPONSE_MARGIN_MILLIS = 5_000;

    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /**
     * Limit for open requests; further ones that are not urgent are rejected. With 275 open
     * requests, each took about 25 KB of the heap of 48 MB, mostly for the buffers of its
     * connection. Without a limit, requests that piled up while the VM was paused caused an {@code
     * OutOfMemoryError}.
     */
    static final int MAX_OPEN_REQUEST_COUNT = 500;

    /** Limit for open requests at which urgent requests are rejected too. */
    static final int MAX_OPEN_URGENT_REQUEST_COUNT = 750;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,100}");

    private final RequestIdGenerator ids;
    private final RequestRegistry registry;
    private final Supplier<State> state;
    private final Clock clock;
    private final EventSink events;
    private final RandomGenerator random;
    private final int maxBodyBytes;
    private final int maxAnswerBytes;

    /** Creates an endpoint that assigns an id of {@code ids} to each request. */
    public RequestEndpoint(
            RequestIdGenerator ids,
            RequestRegistry registry,
            Supplier<State> state,
            Clock clock,
            EventSink events,
            RandomGenerator random,
            int maxBodyBytes,
            int maxAnswerBytes) {
        this.ids = ids;
        this.registry = registry;
        this.state = state;
        this.clock = clock;
        this.events = events;
        this.random = random;
        this.maxBodyBytes = maxBodyBytes;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    @Override
    public void handle(Exchange exchange, String queueName)
            throws IOException, InterruptedException, BodyException {
        byte[] body = exchange.readBody(maxBodyBytes);
        Optional<String> idempotencyKey = exchange.header(ApiPaths.IDEMPOTENCY_HEADER);
        if (idempotencyKey.isPresent()
                && !IDEMPOTENCY_KEY_PATTERN.matcher(idempotencyKey.get()).matches()) {
            Refusals.sendInvalidRequest(
                    exchange,
                    ApiPaths.IDEMPOTENCY_HEADER
                            + " must match "
                            + IDEMPOTENCY_KEY_PATTERN.pattern());
            return;
        }
        QueueId queue;
        try {
            queue = QueueId.of(queueName);
        } catch (IllegalArgumentException e) {
            Refusals.sendInvalidRequest(exchange, e.getMessage());
            return;
        }
        serve(exchange, queue, idempotencyKey, body);
    }

    private void serve(
            Exchange exchange, QueueId queue, Optional<String> idempotencyKey, byte[] body)
            throws IOException, InterruptedException {
        Optional<Queue> knownQueue = state.get().configuration().flatMap(c -> c.queue(queue));
        boolean urgent = knownQueue.map(Queue::urgent).orElse(false);
        if (registry.callerRequestCount()
                >= (urgent ? MAX_OPEN_URGENT_REQUEST_COUNT : MAX_OPEN_REQUEST_COUNT)) {
            Refusals.send(
                    exchange, AttemptResult.notRun(RefusalReason.OVERLOADED, RETRY_AFTER_MILLIS));
            return;
        }
        boolean isCommand = knownQueue.map(q -> q.kind() == WorkKind.COMMAND).orElse(false);
        long timeoutMillis = knownQueue.map(Queue::timeoutMillis).orElse(DEFAULT_TIMEOUT_MILLIS);
        RequestId request = ids.next();
        AnswerChannel channel = AnswerChannel.of(isCommand, maxAnswerBytes);
        registry.add(request, body, channel);
        try {
            events.post(
                    new RequestEvent.RequestArrived(
                            clock.millis(),
                            request,
                            queue,
                            exchange.accessKey().map(AccessKeys::hash),
                            idempotencyKey,
                            random.nextLong()));
            respond(exchange, request, channel, timeoutMillis + RESPONSE_MARGIN_MILLIS);
        } catch (IOException e) {
            events.post(new RequestEvent.RequestCancelled(clock.millis(), request));
            throw e;
        } finally {
            channel.abandon();
            registry.remove(request);
        }
    }

    private void respond(
            Exchange exchange, RequestId request, AnswerChannel channel, long timeoutMillis)
            throws IOException, InterruptedException {
        Optional<Answer> answer = channel.awaitHead(timeoutMillis);
        if (answer.isEmpty()) {
            // The answer may still arrive; its producer must know that no caller waits for it.
            events.post(new RequestEvent.RequestCancelled(clock.millis(), request));
        }
        switch (answer.orElse(
                new Answer.Refused(AttemptResult.unknown(RefusalReason.DEADLINE_AFTER_START)))) {
            case Answer.Refused refused -> Refusals.send(exchange, refused.result());
            case Answer.Body body -> streamBody(exchange, channel, body, timeoutMillis);
            case Answer.BodyNotStored none -> {
                exchange.setHeader("Jujube-Replayed", "true");
                exchange.sendError(
                        409,
                        ErrorView.of(
                                ErrorCodes.ALREADY_DONE,
                                "the request was executed before; its response is not kept",
                                Outcome.DONE));
            }
            case Answer.JobAccepted job ->
                    throw new IllegalStateException(
                            "unexpected answer to a request: job " + job.job());
        }
    }

    private static void streamBody(
            Exchange exchange, AnswerChannel channel, Answer.Body body, long timeoutMillis)
            throws IOException, InterruptedException {
        exchange.setHeader(ApiPaths.OUTCOME_HEADER, OutcomeNames.of(Outcome.DONE));
        if (body.replayed()) {
            exchange.setHeader("Jujube-Replayed", "true");
        }
        boolean taskFailed = body.contentType().equals(TaskFailure.MEDIA_TYPE);
        if (taskFailed) {
            exchange.setHeader("Jujube-Task", "failed");
        }
        String type = taskFailed ? "application/json" : body.contentType();
        // Closing the stream marks the body as complete, so it is closed only after the last chunk.
        OutputStream output = exchange.startStreaming(200, type, body.length());
        try {
            Optional<byte[]> chunk = channel.nextChunk(timeoutMillis);
            while (chunk.isPresent()) {
                output.write(chunk.get());
                chunk = channel.nextChunk(timeoutMillis);
            }
            output.close();
        } catch (IOException e) {
            exchange.abort();
            throw e;
        }
    }
}
