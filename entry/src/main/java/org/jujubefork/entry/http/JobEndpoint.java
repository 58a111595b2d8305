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

/** Takes jobs, and answers questions about them. */
public final class JobEndpoint {
    /** Longest job with its payload, in bytes; the record has to fit into a value of the store. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    /** Time for the store to take the record of a job. */
    private static final long ACCEPT_TIMEOUT_MILLIS = 10_000;

    private static final long DEFAULT_WAIT_MILLIS = 30_000;
    private static final long MAX_WAIT_MILLIS = 600_000;
    private static final long POLL_MILLIS = 100;

    private final RequestIdGenerator ids;
    private final RequestRegistry registry;
    private final Supplier<State> state;
    private final Clock clock;
    private final EventSink events;

    /** Creates an endpoint that gives each call an id of {@code ids}. */
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

    /** Takes a job. */
    public void submit(Exchange exchange, String variable)
            throws IOException, InterruptedException, BodyException {
        byte[] body = exchange.readBody(MAX_BODY_BYTES);
        RequestId call = ids.next();
        try {
            JobRequest request = ApiCodec.decodeRequest(body, JobRequest.class);
            JobSpec spec = spec(request);
            JobId job = jobId(call, spec);
            Optional<String> hash = exchange.accessKey().map(AccessKeys::hash);
            run(
                    exchange,
                    call,
                    new JobEvent.JobSubmitted(
                            clock.millis(), call, job, spec, hash, System.currentTimeMillis()),
                    job);
        } catch (InvalidMessageException | IllegalArgumentException e) {
            ErrorResponses.sendInvalidRequest(exchange, e.getMessage());
        }
    }

    /** Cancels the job {@code name}. */
    public void cancel(Exchange exchange, String name) throws IOException, InterruptedException {
        Optional<StoredJob> job = visible(exchange, name);
        if (job.isEmpty()) {
            return;
        }
        RequestId call = ids.next();
        JobId id = job.get().record().id();
        Optional<String> hash = exchange.accessKey().map(AccessKeys::hash);
        run(exchange, call, new JobEvent.JobCancelRequested(clock.millis(), call, id, hash), id);
    }

    /** Answers with the job {@code name} as it stands. */
    public void show(Exchange exchange, String name) throws IOException {
        Optional<StoredJob> job = visible(exchange, name);
        if (job.isPresent()) {
            exchange.sendJson(200, JobViews.of(state.get(), job.get()));
        }
    }

    /** Answers with the job {@code name} at its end, or as it stands when the time is over. */
    public void await(Exchange exchange, String name) throws IOException, InterruptedException {
        Optional<StoredJob> job = visible(exchange, name);
        if (job.isEmpty()) {
            return;
        }
        JobId id = job.get().record().id();
        long deadline = clock.millis() + waitMillis(exchange);
        StoredJob newest = job.get();
        while (!newest.record().state().isFinal()
                && !state.get().draining()
                && clock.millis() < deadline) {
            Thread.sleep(POLL_MILLIS);
            newest = find(id).orElse(newest);
        }
        exchange.sendJson(200, JobViews.of(state.get(), newest));
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

    private Optional<StoredJob> visible(Exchange exchange, String name) throws IOException {
        Optional<StoredJob> job;
        try {
            job = find(JobId.of(name));
        } catch (IllegalArgumentException e) {
            ErrorResponses.sendInvalidRequest(exchange, e.getMessage());
            return Optional.empty();
        }
        if (job.isEmpty()) {
            ErrorResponses.send(exchange, AttemptResult.notRun(RefusalReason.JOB_UNKNOWN));
            return job;
        }
        RefusalReason reason =
                CallerAccess.check(state.get(), exchange.accessKey(), job.get().record().team());
        if (reason != RefusalReason.NONE) {
            ErrorResponses.send(exchange, AttemptResult.notRun(reason));
            return Optional.empty();
        }
        return job;
    }

    private void run(Exchange exchange, RequestId call, JobEvent event, JobId job)
            throws IOException, InterruptedException {
        AnswerChannel channel = AnswerChannel.of(true, 0);
        registry.add(call, new byte[0], channel);
        try {
            events.post(event);
            Answer answer =
                    channel.await(ACCEPT_TIMEOUT_MILLIS)
                            .orElse(
                                    new Answer.Refused(
                                            AttemptResult.unknown(
                                                    RefusalReason.STORE_UNAVAILABLE)));
            answer(exchange, answer, job);
        } finally {
            registry.remove(call);
        }
    }

    private void answer(Exchange exchange, Answer answer, JobId job) throws IOException {
        switch (answer) {
            case Answer.Refused refused -> ErrorResponses.send(exchange, refused.result());
            case Answer.JobAccepted accepted -> {
                Optional<StoredJob> stored = find(JobId.of(accepted.job()));
                exchange.sendJson(
                        stored.isPresent() ? 200 : 202,
                        stored.isPresent()
                                ? JobViews.of(state.get(), stored.get())
                                : JobViews.accepted(job));
            }
            case Answer.BodyNotKept none ->
                    throw new IllegalStateException("a job was answered as an executed request");
            case Answer.Body body ->
                    throw new IllegalStateException("a job was answered with " + body);
        }
    }

    private static JobSpec spec(JobRequest request) {
        return new JobSpec(
                QueueId.of(request.queue()),
                request.name(),
                request.tasks(),
                request.size().map(JobEndpoint::size),
                request.payload(),
                request.idempotencyKey());
    }

    private static Resources size(ResourcesView view) {
        Resources size = Resources.of(view.cpuMillis(), view.memoryMb(), view.accelerators());
        if (size.isNegative() || size.isZero()) {
            throw new IllegalArgumentException("size must be above zero: " + size);
        }
        return size;
    }

    /**
     * Returns an id that is the same for each submission with the same idempotency key of the same
     * team.
     */
    private JobId jobId(RequestId call, JobSpec spec) {
        if (spec.idempotencyKey().isEmpty()) {
            return JobId.of("j-" + call.value());
        }
        String team =
                state.get()
                        .configuration()
                        .flatMap(c -> c.queue(spec.queue()))
                        .map(q -> q.team().value())
                        .orElse("");
        String scoped = team + "/" + spec.idempotencyKey().get();
        return JobId.of("j-" + AccessKeys.hash(scoped).substring(0, ID_DIGITS));
    }

    /** Hexadecimal digits of a job id, enough that two keys do not meet. */
    private static final int ID_DIGITS = 24;
}
