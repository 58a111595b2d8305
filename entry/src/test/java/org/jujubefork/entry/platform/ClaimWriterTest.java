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
 * Guards against outcomes that never become durable after a lost response, against lost answer
 * bodies, and against changes to the claim of another request.
 */
public final class ClaimWriterTest {
    private static final String KEY = "claims/team/k";
    private static final RequestId OWN = RequestId.of("own");
    private static final RequestId OTHER = RequestId.of("other");
    private static final EntryId ENTRY = EntryId.of("e1", 1);

    /** What a call to the store does. */
    private enum Fault {
        NONE,
        REFUSED,
        RESPONSE_LOST
    }

    private static final class FakeStore implements ClaimWriter.Calls {
        private final Map<String, KeyValue> values = new HashMap<>();
        private final ArrayDeque<Fault> faults = new ArrayDeque<>();
        private long revision;
        private boolean readable = true;
        private int puts;

        @Override
        public Optional<KeyValue> get(String key) throws StoreException {
            if (!readable) {
                throw new StoreException(StoreException.Kind.MALFORMED, "not readable");
            }
            return Optional.ofNullable(values.get(key));
        }

        @Override
        public WriteResult put(String key, String text, long ifRevision) {
            puts++;
            return write(key, Optional.of(text), ifRevision);
        }

        @Override
        public WriteResult delete(String key, long ifRevision) {
            return write(key, Optional.empty(), ifRevision);
        }

        private WriteResult write(String key, Optional<String> text, long ifRevision) {
            Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
            if (fault == Fault.REFUSED) {
                return new WriteResult.NotApplied("refused");
            }
            long current = values.containsKey(key) ? values.get(key).revision() : 0;
            if (current != ifRevision) {
                return new WriteResult.Conflict(current);
            }
            revision++;
            values.remove(key);
            text.ifPresent(t -> values.put(key, new KeyValue(key, StoreText.encode(t), revision)));
            return fault == Fault.RESPONSE_LOST
                    ? new WriteResult.Unknown("lost")
                    : new WriteResult.Written(revision);
        }

        private ClaimCodec.StoredClaim claim() throws MalformedRecordException {
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

    private void create(RequestId request) {
        store.put(KEY, ClaimCodec.encode(claim(request, ClaimState.CLAIMED, "")), 0);
        writer.created(request, store.revision);
        store.puts = 0;
    }

    private boolean settle(String body) {
        ClaimCodec.StoredClaim claim = claim(OWN, ClaimState.DONE, body);
        return writer.settle(new StoreEffect.SettleClaim(OWN, KEY, claim.record()), () -> claim);
    }

    private boolean release() {
        return writer.release(new StoreEffect.ReleaseClaim(OWN, KEY));
    }

    private void assertDone(String body) throws MalformedRecordException {
        assertEquals(store.claim().record().state(), ClaimState.DONE);
        assertEquals(StoreText.decode(store.claim().body().orElseThrow()), body);
        assertEquals(writer.pending(), 0);
    }

    @Test
    public void settlesWithOneWrite() throws MalformedRecordException {
        create(OWN);
        assertTrue(settle("answer"));
        assertEquals(store.puts, 1);
        assertDone("answer");
    }

    @Test
    public void keepsTheBodyForARepeatAfterTheCallerIsGone() throws MalformedRecordException {
        create(OWN);
        store.faults.add(Fault.REFUSED);
        assertFalse(settle("answer"));
        assertEquals(writer.pending(), 1);
        assertTrue(settle(""));
        assertDone("answer");
    }

    @Test
    public void findsAnOutcomeWhoseResponseWasLost() throws MalformedRecordException {
        create(OWN);
        store.faults.add(Fault.RESPONSE_LOST);
        store.readable = false;
        assertFalse(settle("answer"));
        store.readable = true;
        assertTrue(settle(""));
        assertEquals(store.puts, 1);
        assertDone("answer");
    }

    @Test
    public void settlesAgainAfterItWasConfirmed() throws MalformedRecordException {
        create(OWN);
        assertTrue(settle("answer"));
        assertTrue(settle("answer"));
        assertEquals(store.puts, 1);
        assertDone("answer");
    }

    @Test
    public void recordsAnOutcomeWhoseClaimIsGone() throws MalformedRecordException {
        assertTrue(settle("answer"));
        assertDone("answer");
    }

    @Test
    public void leavesTheClaimOfAnotherRequestAlone() throws MalformedRecordException {
        create(OTHER);
        assertTrue(settle("answer"));
        assertEquals(store.claim().record().request(), OTHER);
        assertEquals(store.claim().record().state(), ClaimState.CLAIMED);
        assertTrue(release());
        assertEquals(store.claim().record().request(), OTHER);
    }

    @Test
    public void releasesUntilTheStoreConfirmsIt() {
        create(OWN);
        store.faults.add(Fault.RESPONSE_LOST);
        assertFalse(release());
        assertTrue(release());
        assertTrue(store.values.isEmpty());
        assertTrue(release());
    }

    @Test
    public void doesNotReportAReleaseThatTheStoreCouldNotBeAskedAbout() {
        create(OWN);
        store.readable = false;
        assertFalse(release());
        store.readable = true;
        store.faults.add(Fault.REFUSED);
        assertFalse(release());
        assertTrue(release());
        assertTrue(store.values.isEmpty());
    }
}
