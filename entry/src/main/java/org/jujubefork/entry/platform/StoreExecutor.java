package org.jujubefork.entry.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EffectExecutor;
import org.jujubefork.entry.control.EventSink;
import org.jujubefork.entry.telemetry.DaemonMetrics;

/** Carries out writes to the store on virtual threads and reports what became of them. */
public final class StoreExecutor implements EffectExecutor<StoreEffect> {
    private static final Logger log = Logger.getLogger(StoreExecutor.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** Time between two attempts to read the ledger, so that an outage costs one call a second. */
    private static final Duration LEDGER_RETRY = Duration.ofSeconds(1);

    /** Longest answer that is kept in a claim, in bytes. */
    private static final int MAX_KEPT_BODY_BYTES = 512 * 1024;

    private final StoreClient store;
    private final RequestRegistry registry;
    private final Clock clock;
    private final EventSink events;
    private final DaemonMetrics metrics;
    private final ClaimWriter claims;
    private final AtomicBoolean readingLedger = new AtomicBoolean();

    /** Creates an executor that takes the answers to be kept from {@code registry}. */
    public StoreExecutor(
            StoreClient store,
            RequestRegistry registry,
            Clock clock,
            EventSink events,
            DaemonMetrics metrics) {
        this.store = store;
        this.registry = registry;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.claims = new ClaimWriter(calls());
    }

    private ClaimWriter.Calls calls() {
        return new ClaimWriter.Calls() {
            @Override
            public Optional<KeyValue> get(String key) throws StoreException {
                return StoreExecutor.this.get(key);
            }

            @Override
            public WriteResult put(String key, String text, long ifRevision) {
                return StoreExecutor.this.put(key, text, ifRevision);
            }

            @Override
            public WriteResult delete(String key, long ifRevision) {
                return StoreExecutor.this.delete(key, ifRevision);
            }
        };
    }

    @Override
    public void execute(StoreEffect effect) {
        Thread.startVirtualThread(
                () -> {
                    try {
                        carryOut(effect);
                    } catch (RuntimeException e) {
                        // Without an event the control state would wait for ever.
                        EffectFailures.log(effect, e);
                        EffectFailures.eventOf(effect, clock.millis()).ifPresent(events::post);
                    }
                });
    }

    private void carryOut(StoreEffect effect) {
        switch (effect) {
            case StoreEffect.CreateClaim e -> createClaim(e);
            case StoreEffect.ReadClaim e -> readClaim(e);
            case StoreEffect.SettleClaim e -> settleClaim(e);
            case StoreEffect.ReleaseClaim e -> releaseClaim(e);
            case StoreEffect.WriteJob e -> writeJob(e);
            case StoreEffect.DeleteJob e -> deleteJob(e);
            case StoreEffect.WriteLedger e -> writeLedger(e);
            case StoreEffect.ReadLedger e -> readLedger();
        }
    }

    private WriteResult put(String key, String text, long ifRevision) {
        metrics.countStoreCall("put");
        return store.put(
                key,
                StoreText.encode(text),
                OptionalLong.of(ifRevision),
                Optional.empty(),
                TIMEOUT);
    }

    private WriteResult delete(String key, long ifRevision) {
        metrics.countStoreCall("delete");
        return store.delete(key, OptionalLong.of(ifRevision), TIMEOUT);
    }

    private Optional<KeyValue> get(String key) throws StoreException {
        metrics.countStoreCall("get");
        return store.get(key, TIMEOUT);
    }

    private void createClaim(StoreEffect.CreateClaim effect) {
        String text =
                ClaimCodec.encode(new ClaimCodec.StoredClaim(effect.claim(), "", Optional.empty()));
        RequestId request = effect.request();
        switch (put(effect.claimKey(), text, StoreClient.ABSENT)) {
            case WriteResult.Written written -> created(request, written.revision());
            case WriteResult.Conflict conflict -> readBack(effect, false);
            case WriteResult.Unknown unknown -> readBack(effect, true);
            case WriteResult.NotApplied notSent ->
                    events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, false));
            case WriteResult.Throttled throttled ->
                    events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, false));
        }
    }

    private void created(RequestId request, long revision) {
        claims.created(request, revision);
        events.post(new ClaimEvent.ClaimCreated(clock.millis(), request, revision));
    }

    /**
     * Finds out whether a write whose answer was lost took effect, by the request id in the claim.
     */
    private void readBack(StoreEffect.CreateClaim effect, boolean maybeWritten) {
        RequestId request = effect.request();
        try {
            Optional<KeyValue> found = get(effect.claimKey());
            if (found.isEmpty()) {
                events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, maybeWritten));
                return;
            }
            ClaimRecord existing =
                    ClaimCodec.decode(StoreText.decode(found.get().value())).record();
            if (existing.request().equals(request)) {
                created(request, found.get().revision());
            } else {
                events.post(new ClaimEvent.ClaimExists(clock.millis(), request, existing));
            }
        } catch (StoreException | MalformedRecordException e) {
            log.warnf("event=claim-unreadable request=%s reason=\"%s\"", request, e.getMessage());
            events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, maybeWritten));
        }
    }

    private void readClaim(StoreEffect.ReadClaim effect) {
        RequestId request = effect.request();
        try {
            Optional<KeyValue> found = get(effect.claimKey());
            if (found.isEmpty()) {
                events.post(new ClaimEvent.ClaimGone(clock.millis(), request));
                return;
            }
            ClaimRecord existing =
                    ClaimCodec.decode(StoreText.decode(found.get().value())).record();
            events.post(new ClaimEvent.ClaimExists(clock.millis(), request, existing));
        } catch (StoreException | MalformedRecordException e) {
            events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, false));
        }
    }

    private void deleteJob(StoreEffect.DeleteJob effect) {
        WriteResult result = delete(StoreKeys.JOBS + effect.job(), effect.expectedRevision());
        if (!(result instanceof WriteResult.Written)) {
            log.debugf("event=job-record-not-removed job=%s", effect.job());
        }
    }

    private void settleClaim(StoreEffect.SettleClaim effect) {
        boolean durable = claims.settle(effect, () -> kept(effect));
        events.post(new ClaimEvent.ClaimSettled(clock.millis(), effect.request(), durable));
    }

    private ClaimCodec.StoredClaim kept(StoreEffect.SettleClaim effect) {
        Optional<AnswerChannel> channel = registry.channel(effect.request());
        Optional<byte[]> body =
                channel.filter(c -> effect.claim().state() == ClaimState.DONE)
                        .filter(c -> c.received() <= MAX_KEPT_BODY_BYTES)
                        .map(AnswerChannel::content);
        String type = channel.map(AnswerChannel::contentType).orElse("");
        return new ClaimCodec.StoredClaim(effect.claim(), type, body);
    }

    private void releaseClaim(StoreEffect.ReleaseClaim effect) {
        boolean durable = claims.release(effect);
        events.post(new ClaimEvent.ClaimSettled(clock.millis(), effect.request(), durable));
    }

    private void writeJob(StoreEffect.WriteJob effect) {
        String key = StoreKeys.JOBS + effect.record().id();
        WriteResult result = put(key, JobCodec.encode(effect.record()), effect.expectedRevision());
        events.post(
                switch (result) {
                    case WriteResult.Written written ->
                            new JobEvent.JobWritten(
                                    clock.millis(),
                                    new StoredJob(written.revision(), effect.record()));
                    case WriteResult.Conflict conflict -> jobFailed(effect, false, true);
                    case WriteResult.Unknown unknown -> jobFailed(effect, true, false);
                    case WriteResult.NotApplied notSent -> jobFailed(effect, false, false);
                    case WriteResult.Throttled throttled -> jobFailed(effect, false, false);
                });
    }

    private JobEvent jobFailed(
            StoreEffect.WriteJob effect, boolean maybeWritten, boolean conflict) {
        return new JobEvent.JobWriteFailed(
                clock.millis(), effect.record().id(), maybeWritten, conflict);
    }

    private void writeLedger(StoreEffect.WriteLedger effect) {
        String text = LedgerCodec.encode(effect.ledger());
        switch (put(StoreKeys.LEDGER, text, effect.expectedRevision())) {
            case WriteResult.Written written ->
                    events.post(
                            new LimitEvent.LedgerLoaded(
                                    clock.millis(), written.revision(), effect.ledger()));
            case WriteResult.Unknown unknown ->
                    events.post(new LimitEvent.LedgerWriteFailed(clock.millis(), true));
            case WriteResult.Conflict conflict ->
                    events.post(new LimitEvent.LedgerWriteFailed(clock.millis(), false));
            case WriteResult.NotApplied notSent ->
                    events.post(new LimitEvent.LedgerWriteFailed(clock.millis(), false));
            case WriteResult.Throttled throttled ->
                    events.post(new LimitEvent.LedgerWriteFailed(clock.millis(), false));
        }
    }

    /**
     * Reads the ledger until the store gives it. A failed attempt posts no event, because the
     * control state would answer it by another read at once; the watch does not deliver a ledger
     * that has not changed.
     */
    private void readLedger() {
        if (!readingLedger.compareAndSet(false, true)) {
            return;
        }
        try {
            Optional<Event> loaded = ledger();
            while (loaded.isEmpty()) {
                Thread.sleep(LEDGER_RETRY);
                loaded = ledger();
            }
            events.post(loaded.get());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            readingLedger.set(false);
        }
    }

    private Optional<Event> ledger() {
        try {
            Optional<KeyValue> found = get(StoreKeys.LEDGER);
            long revision = found.map(KeyValue::revision).orElse(StoreClient.ABSENT);
            Ledger ledger =
                    found.isPresent()
                            ? LedgerCodec.decode(StoreText.decode(found.get().value()))
                            : Ledger.EMPTY;
            return Optional.of(new LimitEvent.LedgerLoaded(clock.millis(), revision, ledger));
        } catch (StoreException | MalformedRecordException | RuntimeException e) {
            log.warnf("event=ledger-unreadable reason=\"%s\"", e.getMessage());
            return Optional.empty();
        }
    }

    /** Gives the caller the answer that is kept in the claim {@code claimKey}. */
    public void replay(RequestId request, String claimKey) {
        Thread.startVirtualThread(
                () -> {
                    try {
                        replayNow(request, claimKey);
                    } catch (RuntimeException e) {
                        log.errorf(e, "event=replay-failed request=%s", request);
                        replayRefused(request);
                    }
                });
    }

    private void replayRefused(RequestId request) {
        registry.channel(request)
                .ifPresent(
                        c ->
                                c.refuse(
                                        AttemptResult.unknown(
                                                RefusalReason.EARLIER_OUTCOME_UNKNOWN)));
    }

    private void replayNow(RequestId request, String claimKey) {
        Optional<AnswerChannel> channel = registry.channel(request);
        try {
            Optional<KeyValue> found = get(claimKey);
            ClaimCodec.StoredClaim claim =
                    ClaimCodec.decode(
                            StoreText.decode(
                                    found.orElseThrow(
                                                    () ->
                                                            new StoreException(
                                                                    StoreException.Kind.MALFORMED,
                                                                    "the claim is gone"))
                                            .value()));
            channel.ifPresent(
                    c ->
                            claim.body()
                                    .ifPresentOrElse(
                                            body -> c.replay(body, claim.contentType()),
                                            c::replayWithoutBody));
        } catch (StoreException | MalformedRecordException e) {
            log.warnf("event=claim-unreadable request=%s reason=\"%s\"", request, e.getMessage());
            replayRefused(request);
        }
    }
}
