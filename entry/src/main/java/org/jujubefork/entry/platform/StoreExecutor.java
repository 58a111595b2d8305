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

/** Executes store effects on virtual threads and posts their outcomes as events. */
public final class StoreExecutor implements EffectExecutor<StoreEffect> {
    private static final Logger log = Logger.getLogger(StoreExecutor.class);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Delay between attempts to read the ledger; limits the rate of calls during an outage of the
     * store to one per second.
     */
    private static final Duration LEDGER_RETRY_DELAY = Duration.ofSeconds(1);

    /** Maximum length of an answer that is stored in a claim. */
    private static final int MAX_STORED_ANSWER_BYTES = 512 * 1024;

    private final StoreClient store;
    private final RequestRegistry registry;
    private final Clock clock;
    private final EventSink events;
    private final DaemonMetrics metrics;
    private final ClaimWriter claimWriter;
    private final AtomicBoolean isReadingLedger = new AtomicBoolean();

    /** Creates an executor that takes the answers to be stored in claims from {@code registry}. */
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
        this.claimWriter = new ClaimWriter(claimStore());
    }

    private ClaimWriter.ClaimStore claimStore() {
        return new ClaimWriter.ClaimStore() {
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
                        executeNow(effect);
                    } catch (RuntimeException e) {
                        // Without an event the reducer would wait for the outcome forever.
                        EffectFailures.logFailure(effect, e);
                        EffectFailures.failureEvent(effect, clock.millis()).ifPresent(events::post);
                    }
                });
    }

    private void executeNow(StoreEffect effect) {
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
                STORE_TIMEOUT);
    }

    private WriteResult delete(String key, long ifRevision) {
        metrics.countStoreCall("delete");
        return store.delete(key, OptionalLong.of(ifRevision), STORE_TIMEOUT);
    }

    private Optional<KeyValue> get(String key) throws StoreException {
        metrics.countStoreCall("get");
        return store.get(key, STORE_TIMEOUT);
    }

    private void createClaim(StoreEffect.CreateClaim effect) {
        String text =
                ClaimCodec.encode(new ClaimCodec.StoredClaim(effect.claim(), "", Optional.empty()));
        RequestId request = effect.request();
        switch (put(effect.claimKey(), text, StoreClient.ABSENT)) {
            case WriteResult.Written written -> postClaimCreated(request, written.revision());
            case WriteResult.Conflict conflict -> readBackClaim(effect, false);
            case WriteResult.Unknown unknown -> readBackClaim(effect, true);
            case WriteResult.NotApplied notSent ->
                    events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, false));
            case WriteResult.Throttled throttled ->
                    events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, false));
        }
    }

    private void postClaimCreated(RequestId request, long revision) {
        claimWriter.onClaimCreated(request, revision);
        events.post(new ClaimEvent.ClaimCreated(clock.millis(), request, revision));
    }

    /**
     * Reads the claim after a write that had a conflict or whose answer was lost. The request id in
     * the claim shows whether this request created it.
     *
     * @param maybeWritten whether the write is reported as possibly successful if the claim cannot
     *     be read
     */
    private void readBackClaim(StoreEffect.CreateClaim effect, boolean maybeWritten) {
        RequestId request = effect.request();
        try {
            Optional<KeyValue> storedItem = get(effect.claimKey());
            if (storedItem.isEmpty()) {
                events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, maybeWritten));
                return;
            }
            ClaimRecord existingClaim =
                    ClaimCodec.decode(StoreText.decode(storedItem.get().value())).record();
            if (existingClaim.request().equals(request)) {
                postClaimCreated(request, storedItem.get().revision());
            } else {
                events.post(new ClaimEvent.ClaimExists(clock.millis(), request, existingClaim));
            }
        } catch (StoreException | MalformedRecordException e) {
            log.warnf("event=claim-unreadable request=%s reason=\"%s\"", request, e.getMessage());
            events.post(new ClaimEvent.ClaimFailed(clock.millis(), request, maybeWritten));
        }
    }

    private void readClaim(StoreEffect.ReadClaim effect) {
        RequestId request = effect.request();
        try {
            Optional<KeyValue> storedItem = get(effect.claimKey());
            if (storedItem.isEmpty()) {
                events.post(new ClaimEvent.ClaimGone(clock.millis(), request));
                return;
            }
            ClaimRecord existingClaim =
                    ClaimCodec.decode(StoreText.decode(storedItem.get().value())).record();
            events.post(new ClaimEvent.ClaimExists(clock.millis(), request, existingClaim));
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
        boolean durable = claimWriter.settle(effect, () -> storedClaim(effect));
        events.post(new ClaimEvent.ClaimSettled(clock.millis(), effect.request(), durable));
    }

    private ClaimCodec.StoredClaim storedClaim(StoreEffect.SettleClaim effect) {
        Optional<AnswerChannel> channel = registry.channel(effect.request());
        Optional<byte[]> body =
                channel.filter(c -> effect.claim().state() == ClaimState.DONE)
                        .filter(c -> c.receivedBytes() <= MAX_STORED_ANSWER_BYTES)
                        .map(AnswerChannel::wholeBody);
        String contentType = channel.map(AnswerChannel::contentType).orElse("");
        return new ClaimCodec.StoredClaim(effect.claim(), contentType, body);
    }

    private void releaseClaim(StoreEffect.ReleaseClaim effect) {
        boolean durable = claimWriter.release(effect);
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
                    case WriteResult.Conflict conflict -> jobWriteFailed(effect, false, true);
                    case WriteResult.Unknown unknown -> jobWriteFailed(effect, true, false);
                    case WriteResult.NotApplied notSent -> jobWriteFailed(effect, false, false);
                    case WriteResult.Throttled throttled -> jobWriteFailed(effect, false, false);
                });
    }

    private JobEvent jobWriteFailed(
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
     * Repeats reading the ledger until it succeeds. A failed attempt posts no event, because the
     * reducer would respond with another read at once. The store watch cannot replace this read,
     * because it does not deliver an unchanged ledger.
     */
    private void readLedger() {
        if (!isReadingLedger.compareAndSet(false, true)) {
            return;
        }
        try {
            Optional<Event> loadedEvent = tryReadLedger();
            while (loadedEvent.isEmpty()) {
                Thread.sleep(LEDGER_RETRY_DELAY);
                loadedEvent = tryReadLedger();
            }
            events.post(loadedEvent.get());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            isReadingLedger.set(false);
        }
    }

    private Optional<Event> tryReadLedger() {
        try {
            Optional<KeyValue> storedItem = get(StoreKeys.LEDGER);
            long revision = storedItem.map(KeyValue::revision).orElse(StoreClient.ABSENT);
            Ledger ledger =
                    storedItem.isPresent()
                            ? LedgerCodec.decode(StoreText.decode(storedItem.get().value()))
                            : Ledger.EMPTY;
            return Optional.of(new LimitEvent.LedgerLoaded(clock.millis(), revision, ledger));
        } catch (StoreException | MalformedRecordException | RuntimeException e) {
            log.warnf("event=ledger-unreadable reason=\"%s\"", e.getMessage());
            return Optional.empty();
        }
    }

    /** Answers {@code request} with the answer that is stored in the claim {@code claimKey}. */
    public void replay(RequestId request, String claimKey) {
        Thread.startVirtualThread(
                () -> {
                    try {
                        replayNow(request, claimKey);
                    } catch (RuntimeException e) {
                        log.errorf(e, "event=replay-failed request=%s", request);
                        refuseReplay(request);
                    }
                });
    }

    private void refuseReplay(RequestId request) {
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
            Optional<KeyValue> storedItem = get(claimKey);
            ClaimCodec.StoredClaim claim =
                    ClaimCodec.decode(
                            StoreText.decode(
                                    storedItem
                                            .orElseThrow(
                                                    () ->
                                                            new StoreException(
                                                                    StoreException.Kind.MALFORMED,
                                                                    "the claim no longer exists"))
                                            .value()));
            channel.ifPresent(
                    c ->
                            claim.body()
                                    .ifPresentOrElse(
                                            body -> c.replay(body, claim.contentType()),
                                            c::answerBodyNotStored));
        } catch (StoreException | MalformedRecordException e) {
            log.warnf("event=claim-unreadable request=%s reason=\"%s\"", request, e.getMessage());
            refuseReplay(request);
        }
    }
}
