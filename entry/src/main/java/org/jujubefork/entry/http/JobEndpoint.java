package org.jujubefork.entry.http;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.client.api.ResourcesView;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.core.control.State;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.jobs.JobSpec;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.entry.answers.Answer;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EventSink;

/** Accepts, cancels and shows jobs. */
public final class JobEndpoint {
    /** Limit for a job with its payload; the job's record must fit into one value of the store. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    /** Time limit for writing the record of a job to the store. */
    private static final long ACCEPT_TIMEOUT_MILLIS = 10_000;

    private static final long DEFAULT_WAIT_MILLIS = 30_000;
    private static final long MAX_WAIT_MILLIS = 600_000;
    private static final long POLL_INTERVAL_MILLIS = 100;

    private final RequestIdGenerator ids;
    private final RequestRegistry registry;
    private final Supplier<State> state;
    private final Clock clock;
    private final EventSink events;

    /** Creates an endpoint that assigns an id of {@code ids} to each call. */
    public JobEndpoint(
            RequestIdGenerator ids,
            RequestRegistry registry,
            Supplier<State> state,
            Clock clock,
            EventSink events) {
        this.ids = ids;
        this.registry = registry;
        this.state = state;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Submits the job in the request body; responds once its record is stored. Repeated submissions
     * of a team with the same idempotency key are the same job.
     */
    public void submit(Exchange exchange, String variable)
            throws IOException, InterruptedException, BodyException {
        byte[] body = exchange.readBody(MAX_BODY_BYTES);
        RequestId requestId = ids.next();
        try {
            JobRequest request = ApiCodec.decodeRequest(body, JobRequest.class);
            JobSpec spec = toSpec(request);
            JobId job = jobId(requestId, spec);
            Optional<String> keyHash = exchange.accessKey().map(AccessKeys::hash);
            postAndRespond(
                    exchange,
                    requestId,
                    new JobEvent.JobSubmitted(
                            clock.millis(),
                            requestId,
                            job,
                            spec,
                            keyHash,
                            System.currentTimeMillis()),
                    job);
        } catch (InvalidMessageException | IllegalArgumentException e) {
            Refusals.sendInvalidRequest(exchange, e.getMessage());
        }
    }

    /** Cancels the job with the id {@code name}; responds once this is accepted. */
    public void cancel(Exchange exchange, String name) throws IOException, InterruptedException {
        Optional<StoredJob> job = findAuthorized(exchange, name);
        if (job.isEmpty()) {
            return;
        }
        RequestId requestId = ids.next();
        JobId id = job.get().record().id();
        Optional<String> keyHash = exchange.accessKey().map(AccessKeys::hash);
        postAndRespond(
                exchange,
                requestId,
                new JobEvent.JobCancelRequested(clock.millis(), requestId, id, keyHash),
                id);
    }

    /** Sends the current state of the job with the id {@code name}. */
    public void show(Exchange exchange, String name) throws IOException {
        Optional<StoredJob> job = findAuthorized(exchange, name);
        if (job.isPresent()) {
            exchange.sendJson(200, JobViews.of(state.get(), job.get()));
        }
    }

    /**
     * Sends the state of the job with the id {@code name} once it is final, or its current state
     * when the caller's {@code timeoutMillis} have elapsed or this entry drains.
     */
    public void await(Exchange exchange, String name) throws IOException, InterruptedException {
        Optional<StoredJob> job = findAuthorized(exchange, name);
        if (job.isEmpty()) {
            return;
        }
        JobId id = job.get().record().id();
        long deadline = clock.millis() + waitMillis(exchange);
        StoredJob latest = job.get();
        while (!latest.record().state().isFinal()
                && !state.get().draining()
                && clock.millis() < deadline) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            latest = find(id).orElse(latest);
        }
        exchange.sendJson(200, JobViews.of(state.get(), latest));
    }

    private static long waitMillis(Exchange exchange) {
        try {
            long millis =
                    exchange.queryParameter("timeoutMillis")
                            .map(Long::parseLong)
                            .orElse(DEFAULT_WAIT_MILLIS);
            return Math.clamp(millis, 0, MAX_WAIT_MILLIS);
        } catch (NumberFormatException e) {
            return DEFAULT_WAIT_MILLIS;
        }
    }

    private Optional<StoredJob> find(JobId id) {
        return Optional.ofNullable(state.get().jobs().records().get(id));
    }

    /** Returns the job if the caller may access it; otherwise sends an error and returns empty. */
    private Optional<StoredJob> findAuthorized(Exchange exchange, String name) throws IOException {
        Optional<StoredJob> job;
        try {
            job = find(JobId.of(name));
        } catch (IllegalArgumentException e) {
            Refusals.sendInvalidRequest(exchange, e.getMessage());
            return Optional.empty();
        }
        if (job.isEmpty()) {
            Refusals.send(exchange, AttemptResult.notRun(RefusalReason.JOB_UNKNOWN));
            return job;
        }
        RefusalReason reason =
                CallerAccess.check(state.get(), exchange.accessKey(), job.get().record().team());
        if (reason != RefusalReason.NONE) {
            Refusals.send(exchange, AttemptResult.notRun(reason));
            return Optional.empty();
        }
        return job;
    }

    /** Posts {@code event}, waits for its answer and sends the response. */
    private void postAndRespond(Exchange exchange, RequestId requestId, JobEvent event, JobId job)
            throws IOException, InterruptedException {
        AnswerChannel channel = AnswerChannel.of(true, 0);
        registry.add(requestId, new byte[0], channel);
        try {
            events.post(event);
            Answer answer =
                    channel.awaitHead(ACCEPT_TIMEOUT_MILLIS)
                            .orElse(
                                    new Answer.Refused(
                                            AttemptResult.unknown(
                                                    RefusalReason.STORE_UNAVAILABLE)));
            respond(exchange, answer, job);
        } finally {
            registry.remove(requestId);
        }
    }

    private void respond(Exchange exchange, Answer answer, JobId job) throws IOException {
        switch (answer) {
            case Answer.Refused refused -> Refusals.send(exchange, refused.result());
            case Answer.JobAccepted accepted -> {
                Optional<StoredJob> stored = find(JobId.of(accepted.job()));
                exchange.sendJson(
                        stored.isPresent() ? 200 : 202,
                        stored.isPresent()
                                ? JobViews.of(state.get(), stored.get())
                                : JobViews.accepted(job));
            }
            case Answer.BodyNotStored none ->
                    throw new IllegalStateException(
                            "unexpected answer to a job call: an executed request");
            case Answer.Body body ->
                    throw new IllegalStateException("unexpected answer to a job call: " + body);
        }
    }

    private static JobSpec toSpec(JobRequest request) {
        return new JobSpec(
                QueueId.of(request.queue()),
                request.name(),
                request.tasks(),
                request.size().map(JobEndpoint::toSize),
                request.payload(),
                request.idempotencyKey());
    }

    private static Resources toSize(ResourcesView view) {
        Resources size = Resources.of(view.cpuMillis(), view.memoryMb(), view.accelerators());
        if (size.isNegative() || size.isZero()) {
            throw new IllegalArgumentException("size must be above zero: " + size);
        }
        return size;
    }

    /**
     * Returns the id of a job. All submissions of a team with the same idempotency key get the same
     * id; a submission without a key gets a new one.
     */
    private JobId jobId(RequestId requestId, JobSpec spec) {
        if (spec.idempotencyKey().isEmpty()) {
            return JobId.of("j-" + requestId.value());
        }
        String team =
                state.get()
                        .configuration()
                        .flatMap(c -> c.queue(spec.queue()))
                        .map(q -> q.team().value())
                        .orElse("");
        String teamKey = team + "/" + spec.idempotencyKey().get();
        return JobId.of("j-" + AccessKeys.hash(teamKey).substring(0, JOB_ID_HEX_DIGIT_COUNT));
    }

    /** Hexadecimal digits of a job id; 96 bits make a collision of two keys improbable. */
    private static final int JOB_ID_HEX_DIGIT_COUNT = 24;
}
