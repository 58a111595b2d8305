package org.jujubefork.entry.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.worker.CommandResult;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.StartResult;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.answers.TaskFailure;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EffectExecutor;
import org.jujubefork.entry.control.EventSink;

/** Sends commands to workers on virtual threads and posts the outcomes as events. */
public final class WorkerExecutor implements EffectExecutor<WorkerEffect> {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Limit on concurrent start commands for job tasks. Each call uses a connection of its own,
     * which occupies about 10 KiB of heap until 30 s after the call. Without the limit, a burst of
     * 1,500 starts filled the heap with 973 connections.
     */
    private static final int MAX_CONCURRENT_STARTS = 128;

    private final WorkerClient workers;
    private final RequestRegistry registry;
    private final Clock clock;
    private final EventSink events;
    private final Semaphore startPermits = new Semaphore(MAX_CONCURRENT_STARTS);

    /**
     * Creates an executor that takes request bodies from {@code registry} and writes the answers to
     * the sinks that are registered there.
     */
    public WorkerExecutor(
            WorkerClient workers, RequestRegistry registry, Clock clock, EventSink events) {
        this.workers = workers;
        this.registry = registry;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public void execute(WorkerEffect effect) {
        Thread.startVirtualThread(() -> events.post(executeAndReport(effect)));
    }

    private Event executeAndReport(WorkerEffect effect) {
        try {
            return executeNow(effect);
        } catch (RuntimeException e) {
            // Without an event the reducer would wait for the outcome forever.
            EffectFailures.logFailure(effect, e);
            return EffectFailures.failureEvent(effect, clock.millis());
        }
    }

    private Event executeNow(WorkerEffect effect) {
        return switch (effect) {
            case WorkerEffect.AcquireLease e -> acquireLease(e);
            case WorkerEffect.RenewLease e -> renewLease(e);
            case WorkerEffect.StartTask e ->
                    e.request().isPresent() ? startRequest(e) : startTask(e);
            case WorkerEffect.StopTask e -> stopTask(e);
        };
    }

    private Event acquireLease(WorkerEffect.AcquireLease effect) {
        long sentAt = clock.millis();
        LeaseResult result =
                workers.lease(
                        Address.parse(effect.address()),
                        effect.epoch(),
                        Duration.ofMillis(effect.ttlMillis()),
                        CONTROL_TIMEOUT);
        return leaseEvent(effect.worker(), effect.epoch(), sentAt, result);
    }

    private Event renewLease(WorkerEffect.RenewLease effect) {
        long sentAt = clock.millis();
        LeaseResult result =
                workers.renew(
                        Address.parse(effect.address()),
                        effect.epoch(),
                        Duration.ofMillis(effect.ttlMillis()),
                        effect.acknowledged(),
                        CONTROL_TIMEOUT);
        return leaseEvent(effect.worker(), effect.epoch(), sentAt, result);
    }

    private Event leaseEvent(WorkerId worker, Epoch epoch, long sentAt, LeaseResult result) {
        long now = clock.millis();
        return switch (result) {
            case LeaseResult.Granted g ->
                    new FleetEvent.LeaseGranted(now, worker, epoch, sentAt, WorkerReports.of(g));
            case LeaseResult.Refused r ->
                    new FleetEvent.LeaseRefused(now, worker, epoch, Optional.of(r.current()));
            case LeaseResult.NoLease n ->
                    new FleetEvent.LeaseRefused(now, worker, epoch, Optional.empty());
            case LeaseResult.NotConnected n -> new FleetEvent.LeaseFailed(now, worker, epoch);
            case LeaseResult.Unknown u -> new FleetEvent.LeaseFailed(now, worker, epoch);
        };
    }

    private Event startTask(WorkerEffect.StartTask effect) {
        startPermits.acquireUninterruptibly();
        try {
            StartResult result =
                    workers.start(
                            Address.parse(effect.address()),
                            effect.epoch(),
                            effect.incarnation(),
                            effect.task(),
                            START_TIMEOUT);
            return startEvent(effect, result);
        } finally {
            startPermits.release();
        }
    }

    private Event startRequest(WorkerEffect.StartTask effect) {
        RequestId request = effect.request().orElseThrow();
        Optional<byte[]> body = registry.body(request);
        Optional<RequestRegistry.AnswerSink> sink = registry.sink(request);
        if (body.isEmpty() || sink.isEmpty()) {
            return new TaskEvent.StartNotSent(clock.millis(), effect.worker(), effect.task().id());
        }
        StartResult result =
                workers.request(
                        Address.parse(effect.address()),
                        effect.epoch(),
                        effect.incarnation(),
                        effect.task(),
                        body.get(),
                        sink.get(),
                        REQUEST_TIMEOUT);
        if (result instanceof StartResult.Answered answered) {
            sink.get().finish(answered.contentType());
        }
        // A task that failed has run to completion, so the failure is its outcome. If a task
        // ended for any other reason, it may have taken effect in part or not at all.
        if (result instanceof StartResult.Ended ended && ended.reason() == EndReason.FAILED) {
            return effect.task().kind() == WorkKind.LOOKUP
                    ? new TaskEvent.LookupFailed(
                            clock.millis(), effect.worker(), effect.task().id(), ended.message())
                    : answerFailure(effect, ended, sink.get());
        }
        return startEvent(effect, result);
    }

    private Event answerFailure(
            WorkerEffect.StartTask effect,
            StartResult.Ended ended,
            RequestRegistry.AnswerSink sink) {
        WorkerId worker = effect.worker();
        TaskId task = effect.task().id();
        byte[] body = TaskFailure.encodeBody(ended.message());
        try {
            sink.accept(body);
            sink.finish(TaskFailure.MEDIA_TYPE);
            // The task did not succeed.
            return new TaskEvent.RequestFinished(clock.millis(), worker, task, false, body.length);
        } catch (IOException e) {
            return new TaskEvent.StartUnknown(clock.millis(), worker, task, e.getMessage());
        }
    }

    private Event startEvent(WorkerEffect.StartTask effect, StartResult result) {
        WorkerId worker = effect.worker();
        TaskId task = effect.task().id();
        long now = clock.millis();
        return switch (result) {
            case StartResult.Started s -> new TaskEvent.StartAccepted(now, worker, task);
            case StartResult.Answered a ->
                    new TaskEvent.RequestFinished(now, worker, task, true, a.byteCount());
            case StartResult.Ended e -> new TaskEvent.StartUnknown(now, worker, task, e.message());
            case StartResult.Refused r ->
                    new TaskEvent.StartRefused(now, worker, task, r.reason(), r.current());
            case StartResult.NotConnected n -> new TaskEvent.StartNotSent(now, worker, task);
            case StartResult.Unknown u -> new TaskEvent.StartUnknown(now, worker, task, u.reason());
        };
    }

    private Event stopTask(WorkerEffect.StopTask effect) {
        Address address = Address.parse(effect.address());
        TaskId task = effect.task();
        CommandResult result =
                switch (effect.mode()) {
                    case STOP -> workers.stop(address, effect.epoch(), task, CONTROL_TIMEOUT);
                    case CHECKPOINT ->
                            workers.checkpoint(address, effect.epoch(), task, CONTROL_TIMEOUT);
                    case THROTTLE ->
                            workers.throttle(
                                    address,
                                    effect.epoch(),
                                    task,
                                    THROTTLED_CPU_MILLIS,
                                    CONTROL_TIMEOUT);
                };
        long now = clock.millis();
        boolean endsTask = effect.mode() != StopMode.THROTTLE;
        return switch (result) {
            case CommandResult.Accepted a when endsTask ->
                    new TaskEvent.StopConfirmed(now, effect.worker(), task);
            case CommandResult.NoSuchTask n ->
                    new TaskEvent.StopConfirmed(now, effect.worker(), task);
            case CommandResult.Refused r ->
                    new FleetEvent.LeaseRefused(
                            now, effect.worker(), effect.epoch(), Optional.of(r.current()));
            default -> new TaskEvent.StopFailed(now, effect.worker(), task);
        };
    }

    /** CPU limit of a throttled task, in thousandths of a core. */
    private static final long THROTTLED_CPU_MILLIS = 100;
}
