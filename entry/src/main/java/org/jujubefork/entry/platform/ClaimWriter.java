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
 * Writes outcomes into claims and removes claims. The caller retries an operation until it reports
 * that the store holds its result. A retry first reads the claim, because an earlier write may have
 * succeeded although its response was lost. Claims of other requests are never changed.
 */
final class ClaimWriter {
    private static final Logger log = Logger.getLogger(ClaimWriter.class);

    /** The store calls that the writer uses. */
    interface ClaimStore {
        /** Returns the value of {@code key}, or empty if it does not exist. */
        Optional<KeyValue> get(String key) throws StoreException;

        /** Sets {@code key} to {@code text} if it has the revision {@code ifRevision}. */
        WriteResult put(String key, String text, long ifRevision);

        /** Removes {@code key} if it has the revision {@code ifRevision}. */
        WriteResult delete(String key, long ifRevision);
    }

    /** Returns the claim to store, including its outcome and answer. */
    @FunctionalInterface
    interface StoredClaimSource {
        ClaimCodec.StoredClaim claim();
    }

    private final ClaimStore store;
    private final ConcurrentHashMap<RequestId, Long> creationRevisions = new ConcurrentHashMap<>();

    /**
     * Encoded claims whose outcome the store has not confirmed. They are kept here because the
     * caller's connection, and the answer with it, may be gone when the write is retried.
     */
    private final ConcurrentHashMap<RequestId, String> unconfirmedOutcomes =
            new ConcurrentHashMap<>();

    ClaimWriter(ClaimStore store) {
        this.store = store;
    }

    /** Records that the claim of {@code request} was created with {@code revision}. */
    void onClaimCreated(RequestId request, long revision) {
        creationRevisions.put(request, revision);
    }

    /** Returns the number of outcomes that the store has not confirmed. */
    int unconfirmedCount() {
        return unconfirmedOutcomes.size();
    }

    /**
     * Writes the outcome of a request into its claim.
     *
     * @param source called only for the first attempt
     * @return whether the operation is complete; false if it must be retried
     */
    boolean settle(StoreEffect.SettleClaim effect, StoredClaimSource source) {
        RequestId request = effect.request();
        String encodedClaim =
                unconfirmedOutcomes.computeIfAbsent(
                        request, r -> ClaimCodec.encode(source.claim()));
        // Used for the first attempt only: that write may change the revision even if it seems to
        // fail, so a retry reads the claim first.
        Long revision = creationRevisions.remove(request);
        boolean durable =
                revision != null
                        ? settle(effect, encodedClaim, revision)
                        : readAndSettle(effect, encodedClaim);
        if (durable) {
            unconfirmedOutcomes.remove(request);
        } else {
            log.warnf("event=claim-not-settled request=%s", request);
        }
        return durable;
    }

    private boolean settle(StoreEffect.SettleClaim effect, String encodedClaim, long revision) {
        return switch (store.put(effect.claimKey(), encodedClaim, revision)) {
            case WriteResult.Written written -> true;
            case WriteResult.Conflict conflict -> readAndSettle(effect, encodedClaim);
            case WriteResult.Unknown unknown -> readAndSettle(effect, encodedClaim);
            case WriteResult.NotApplied notSent -> false;
            case WriteResult.Throttled throttled -> false;
        };
    }

    private boolean readAndSettle(StoreEffect.SettleClaim effect, String encodedClaim) {
        String key = effect.claimKey();
        try {
            Optional<KeyValue> storedItem = store.get(key);
            if (storedItem.isEmpty()) {
                // Without the claim, a retry by the caller would execute the request again.
                return store.put(key, encodedClaim, StoreClient.ABSENT)
                        instanceof WriteResult.Written;
            }
            String existingClaim = StoreText.decode(storedItem.get().value());
            if (existingClaim.equals(encodedClaim)) {
                return true;
            }
            if (!belongsTo(effect.request(), existingClaim)) {
                log.errorf("event=claim-of-another-request request=%s", effect.request());
                return true;
            }
            return store.put(key, encodedClaim, storedItem.get().revision())
                    instanceof WriteResult.Written;
        } catch (StoreException | MalformedRecordException e) {
            log.warnf(
                    "event=claim-unreadable request=%s reason=\"%s\"",
                    effect.request(), e.getMessage());
            return false;
        }
    }

    /**
     * Removes the claim of a request that was not executed.
     *
     * @return whether the operation is complete; false if it must be retried
     */
    boolean release(StoreEffect.ReleaseClaim effect) {
        creationRevisions.remove(effect.request());
        try {
            Optional<KeyValue> storedItem = store.get(effect.claimKey());
            if (storedItem.isEmpty()
                    || !belongsTo(effect.request(), StoreText.decode(storedItem.get().value()))) {
                return true;
            }
            return store.delete(effect.claimKey(), storedItem.get().revision())
                    instanceof WriteResult.Written;
        } catch (StoreException | MalformedRecordException e) {
            log.warnf(
                    "event=claim-not-released request=%s reason=\"%s\"",
                    effect.request(), e.getMessage());
            return false;
        }
    }

    private static boolean belongsTo(RequestId request, String encodedClaim)
            throws MalformedRecordException {
        return ClaimCodec.decode(encodedClaim).record().request().equals(request);
    }
}
