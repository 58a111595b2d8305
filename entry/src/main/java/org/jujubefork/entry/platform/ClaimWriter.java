package org.jujubefork.entry.platform;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.model.RequestId;

/**
 * Writes outcomes into claims and removes claims. Each operation may be repeated until it reports
 * that the store holds its result: a repeat reads the claim back, because an earlier write whose
 * response was lost may have taken effect. Only claims that carry the request's own id are changed.
 */
final class ClaimWriter {
    private static final Logger log = Logger.getLogger(ClaimWriter.class);

    /** The calls to the store that claims need. */
    interface Calls {
        /** Returns the value of {@code key}. */
        Optional<KeyValue> get(String key) throws StoreException;

        /** Writes {@code text} if {@code key} has the revision {@code ifRevision}. */
        WriteResult put(String key, String text, long ifRevision);

        /** Removes {@code key} if it has the revision {@code ifRevision}. */
        WriteResult delete(String key, long ifRevision);
    }

    /** Returns the answer to be kept with the outcome. */
    @FunctionalInterface
    interface Kept {
        ClaimCodec.StoredClaim claim();
    }

    private final Calls store;
    private final ConcurrentHashMap<RequestId, Long> revisions = new ConcurrentHashMap<>();

    /**
     * Encoded outcomes that the store has not confirmed. They outlive the caller's connection,
     * which may end before a repeat.
     */
    private final ConcurrentHashMap<RequestId, String> unconfirmed = new ConcurrentHashMap<>();

    ClaimWriter(Calls store) {
        this.store = store;
    }

    /** Notes that the claim of {@code request} was created with {@code revision}. */
    void created(RequestId request, long revision) {
        revisions.put(request, revision);
    }

    /** Returns how many outcomes wait for a confirmation. */
    int pending() {
        return unconfirmed.size();
    }

    /**
     * Records the outcome of a request.
     *
     * @param kept called in the first attempt only
     * @return whether there is nothing left to write
     */
    boolean settle(StoreEffect.SettleClaim effect, Kept kept) {
        RequestId request = effect.request();
        String text = unconfirmed.computeIfAbsent(request, r -> ClaimCodec.encode(kept.claim()));
        // The revision is good for one attempt; a repeat has to learn the present one.
        Long revision = revisions.remove(request);
        boolean durable =
                revision != null ? settle(effect, text, revision) : settleAfterRead(effect, text);
        if (durable) {
            unconfirmed.remove(request);
        } else {
            log.warnf("event=claim-not-settled request=%s", request);
        }
        return durable;
    }

    private boolean settle(StoreEffect.SettleClaim effect, String text, long revision) {
        return switch (store.put(effect.claimKey(), text, revision)) {
            case WriteResult.Written written -> true;
            case WriteResult.Conflict conflict -> settleAfterRead(effect, text);
            case WriteResult.Unknown unknown -> settleAfterRead(effect, text);
            case WriteResult.NotApplied notSent -> false;
            case WriteResult.Throttled throttled -> false;
        };
    }

    private boolean settleAfterRead(StoreEffect.SettleClaim effect, String text) {
        String key = effect.claimKey();
        try {
            Optional<KeyValue> found = store.get(key);
            if (found.isEmpty()) {
                // Without the record a retry of the caller would run the request again.
                return store.put(key, text, StoreClient.ABSENT) instanceof WriteResult.Written;
            }
            String existing = StoreText.decode(found.get().value());
            if (existing.equals(text)) {
                return true;
            }
            if (!isOwn(effect.request(), existing)) {
                log.errorf("event=claim-of-another-request request=%s", effect.request());
                return true;
            }
            return store.put(key, text, found.get().revision()) instanceof WriteResult.Written;
        } catch (StoreException | MalformedRecordException e) {
            log.warnf(
                    "event=claim-unreadable request=%s reason=\"%s\"",
                    effect.request(), e.getMessage());
            return false;
        }
    }

    /**
     * Removes the claim of a request that did not run.
     *
     * @return whether there is nothing left to remove
     */
    boolean release(StoreEffect.ReleaseClaim effect) {
        revisions.remove(effect.request());
        try {
            Optional<KeyValue> found = store.get(effect.claimKey());
            if (found.isEmpty()
                    || !isOwn(effect.request(), StoreText.decode(found.get().value()))) {
                return true;
            }
            return store.delete(effect.claimKey(), found.get().revision())
                    instanceof WriteResult.Written;
        } catch (StoreException | MalformedRecordException e) {
            log.warnf(
                    "event=claim-not-released request=%s reason=\"%s\"",
                    effect.request(), e.getMessage());
            return false;
        }
    }

    private static boolean isOwn(RequestId request, String text) throws MalformedRecordException {
        return ClaimCodec.decode(text).record().request().equals(request);
    }
}
