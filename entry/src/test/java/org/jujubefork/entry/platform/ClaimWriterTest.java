package org.jujubefork.entry.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against outcomes that are never written after a lost response, against answers that are
 * lost before their claim is written, and against changes to the claim of another request.
 */
public final class ClaimWriterTest {
    private static final String KEY = "claims/team/k";
    private static final RequestId OWN_REQUEST = RequestId.of("own");
    private static final RequestId OTHER_REQUEST = RequestId.of("other");
    private static final EntryId ENTRY = EntryId.of("e1", 1);

    /** The fault that a write to the fake store simulates. */
    private enum Fault {
        NONE,
        NOT_SENT,
        RESPONSE_LOST
    }

    private static final class FakeStore implements ClaimWriter.ClaimStore {
        private final Map<String, KeyValue> values = new HashMap<>();
        private final ArrayDeque<Fault> faults = new ArrayDeque<>();
        private long revision;
        private boolean readable = true;
        private int putCount;

        @Override
        public Optional<KeyValue> get(String key) throws StoreException {
            if (!readable) {
                throw new StoreException(StoreException.Kind.MALFORMED, "not readable");
            }
            return Optional.ofNullable(values.get(key));
        }

        @Override
        public WriteResult put(String key, String text, long ifRevision) {
            putCount++;
            return write(key, Optional.of(text), ifRevision);
        }

        @Override
        public WriteResult delete(String key, long ifRevision) {
            return write(key, Optional.empty(), ifRevision);
        }

        private WriteResult write(String key, Optional<String> text, long ifRevision) {
            Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
            if (fault == Fault.NOT_SENT) {
                return new WriteResult.NotApplied("refused");
            }
            long currentRevision = values.containsKey(key) ? values.get(key).revision() : 0;
            if (currentRevision != ifRevision) {
                return new WriteResult.Conflict(currentRevision);
            }
            revision++;
            values.remove(key);
            text.ifPresent(t -> values.put(key, new KeyValue(key, StoreText.encode(t), revision)));
            return fault == Fault.RESPONSE_LOST
                    ? new WriteResult.Unknown("lost")
                    : new WriteResult.Written(revision);
        }

        private ClaimCodec.StoredClaim storedClaim() throws MalformedRecordException {
            return ClaimCodec.decode(StoreText.decode(values.get(KEY).value()));
        }
    }

    private FakeStore store;
    private ClaimWriter writer;

    @BeforeMethod
    public void reset() {
        store = new FakeStore();
        writer = new ClaimWriter(store);
    }

    private static ClaimCodec.StoredClaim claim(RequestId request, ClaimState state, String body) {
        return new ClaimCodec.StoredClaim(
                new ClaimRecord(request, ENTRY, state),
                "text/plain",
                body.isEmpty() ? Optional.empty() : Optional.of(StoreText.encode(body)));
    }

    private void createClaim(RequestId request) {
        store.put(KEY, ClaimCodec.encode(claim(request, ClaimState.CLAIMED, "")), 0);
        writer.onClaimCreated(request, store.revision);
        store.putCount = 0;
    }

    private boolean settleOwnClaim(String body) {
        ClaimCodec.StoredClaim claim = claim(OWN_REQUEST, ClaimState.DONE, body);
        return writer.settle(
                new StoreEffect.SettleClaim(OWN_REQUEST, KEY, claim.record()), () -> claim);
    }

    private boolean releaseOwnClaim() {
        return writer.release(new StoreEffect.ReleaseClaim(OWN_REQUEST, KEY));
    }

    private void assertDone(String body) throws MalformedRecordException {
        assertEquals(store.storedClaim().record().state(), ClaimState.DONE);
        assertEquals(StoreText.decode(store.storedClaim().body().orElseThrow()), body);
        assertEquals(writer.unconfirmedCount(), 0);
    }

    @Test
    public void settlesWithOneWrite() throws MalformedRecordException {
        createClaim(OWN_REQUEST);
        assertTrue(settleOwnClaim("answer"));
        assertEquals(store.putCount, 1);
        assertDone("answer");
    }

    @Test
    public void keepsTheAnswerForARetryAfterTheCallerIsGone() throws MalformedRecordException {
        createClaim(OWN_REQUEST);
        store.faults.add(Fault.NOT_SENT);
        assertFalse(settleOwnClaim("answer"));
        assertEquals(writer.unconfirmedCount(), 1);
        assertTrue(settleOwnClaim(""));
        assertDone("answer");
    }

    @Test
    public void recognizesAWriteWhoseResponseWasLost() throws MalformedRecordException {
        createClaim(OWN_REQUEST);
        store.faults.add(Fault.RESPONSE_LOST);
        store.readable = false;
        assertFalse(settleOwnClaim("answer"));
        store.readable = true;
        assertTrue(settleOwnClaim(""));
        assertEquals(store.putCount, 1);
        assertDone("answer");
    }

    @Test
    public void settlingAgainWritesNothing() throws MalformedRecordException {
        createClaim(OWN_REQUEST);
        assertTrue(settleOwnClaim("answer"));
        assertTrue(settleOwnClaim("answer"));
        assertEquals(store.putCount, 1);
        assertDone("answer");
    }

    @Test
    public void createsAMissingClaimWithTheOutcome() throws MalformedRecordException {
        assertTrue(settleOwnClaim("answer"));
        assertDone("answer");
    }

    @Test
    public void doesNotChangeTheClaimOfAnotherRequest() throws MalformedRecordException {
        createClaim(OTHER_REQUEST);
        assertTrue(settleOwnClaim("answer"));
        assertEquals(store.storedClaim().record().request(), OTHER_REQUEST);
        assertEquals(store.storedClaim().record().state(), ClaimState.CLAIMED);
        assertTrue(releaseOwnClaim());
        assertEquals(store.storedClaim().record().request(), OTHER_REQUEST);
    }

    @Test
    public void releaseIsRepeatedAfterALostResponse() {
        createClaim(OWN_REQUEST);
        store.faults.add(Fault.RESPONSE_LOST);
        assertFalse(releaseOwnClaim());
        assertTrue(releaseOwnClaim());
        assertTrue(store.values.isEmpty());
        assertTrue(releaseOwnClaim());
    }

    @Test
    public void releaseIsRepeatedAfterAFailedReadOrDelete() {
        createClaim(OWN_REQUEST);
        store.readable = false;
        assertFalse(releaseOwnClaim());
        store.readable = true;
        store.faults.add(Fault.NOT_SENT);
        assertFalse(releaseOwnClaim());
        assertTrue(releaseOwnClaim());
        assertTrue(store.values.isEmpty());
    }
}
