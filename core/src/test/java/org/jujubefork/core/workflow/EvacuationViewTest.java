package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.testng.annotations.Test;

/** Guards against starts by an entry that does not know of an evacuation, or has forgotten it. */
public final class EvacuationViewTest {
    private static final PMap<String, EvacuationRequest> NONE = HashTreePMap.empty();

    private static boolean covers(EvacuationFixture fixture, String zone) {
        return fixture.leader.state().evacuations().covers(zone);
    }

    private static WorkflowEvent.Snapshot snapshot(PMap<String, EvacuationRequest> requests) {
        Job job = LeaderFixture.acceptedJob("j", LeaderFixture.job(1), 100_000);
        return EvacuationFixture.snapshot(List.of(job), requests);
    }

    /** Guards against a new leader whose first starts precede its first view of the watch. */
    @Test
    public void claimReadsTheEvacuations() {
        EvacuationFixture fixture = EvacuationFixture.following();
        fixture.write("a", true);
        fixture.silenceWatch(true);
        fixture.leader.winClaim(snapshot(fixture.requests()));
        assertTrue(covers(fixture, "a"));
        fixture.listWorkers("a1");
        fixture.advance(1_000, "a1");
        assertEquals(fixture.leader.startedWorkers(), List.of());
        fixture.listWorkers("a1", "b1");
        fixture.advance(1_000, "a1", "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("b1"), "claim confirms the view");
    }

    /** Guards against a view that counts as confirmed when the claim was answered. */
    @Test
    public void claimConfirmsTheViewWhenItWasSent() {
        EvacuationFixture fixture = EvacuationFixture.following();
        long sentAt = fixture.leader.now();
        fixture.leader.tick();
        fixture.leader.advanceUnconfirmed(1_000);
        fixture.leader.winClaim(snapshot(NONE));
        assertEquals(fixture.leader.state().evacuations().confirmedAt(), sentAt);
    }

    /** Guards against a late watch response that removes a zone which the claim has read. */
    @Test
    public void staleResponseAfterClaimRemovesNothing() {
        EvacuationFixture fixture = EvacuationFixture.following();
        long watchSentAt = fixture.leader.now();
        fixture.leader.advanceUnconfirmed(20);
        fixture.write("a", true);
        fixture.leader.winClaim(snapshot(fixture.requests()));
        fixture.reportEvacuations(watchSentAt, NONE);
        assertTrue(covers(fixture, "a"));
        fixture.leader.advance(20);
        fixture.remove("a");
        fixture.reportEvacuations();
        assertFalse(covers(fixture, "a"));
    }

    /**
     * Guards against a claim whose read is older than the newest watch response: the response has
     * shown the evacuation, although its call was sent before the claim.
     */
    @Test
    public void claimRemovesNothing() {
        EvacuationFixture fixture = EvacuationFixture.following();
        long watchSentAt = fixture.leader.now();
        fixture.leader.advanceUnconfirmed(20);
        fixture.leader.tick();
        fixture.write("a", true);
        fixture.reportEvacuations(watchSentAt, fixture.requests());
        fixture.leader.winClaim(snapshot(NONE));
        assertTrue(covers(fixture, "a"));
    }

    /** Guards against an evacuation that a response has shown and an overtaken one has hidden. */
    @Test
    public void olderResponseStillAddsZones() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1");
        long sentAt = fixture.leader.now() - 500;
        PMap<String, EvacuationRequest> view =
                HashTreePMap.singleton("a", new EvacuationRequest(7, true));
        fixture.reportEvacuations(sentAt, view);
        assertTrue(covers(fixture, "a"));
    }

    /** Guards against starts by an entry that can no longer learn of an evacuation. */
    @Test
    public void silentWatchStopsStarts() {
        EvacuationFixture fixture = EvacuationFixture.leading("b1");
        fixture.submit("i", LeaderFixture.job(4));
        fixture.advance(200, "b1");
        fixture.silenceWatch(true);
        fixture.advance(3_900, "b1");
        fixture.submit("j", LeaderFixture.job(1));
        fixture.advance(60, "b1");
        assertEquals(fixture.leader.startedWorkers().size(), 2, "starts while the view is fresh");
        int renewals = fixture.leader.leaseRenewals("b1").size();
        fixture.submit("k", LeaderFixture.job(1));
        fixture.advance(2_000, "b1");
        assertEquals(fixture.leader.startedWorkers().size(), 2, "start with a stale view");
        assertTrue(fixture.leader.leaseRenewals("b1").size() > renewals, "leases not renewed");
        assertEquals(fixture.logged("evacuation-view-stale").size(), 1);
        fixture.silenceWatch(false);
        fixture.advance(300, "b1");
        assertEquals(fixture.leader.startedWorkers().size(), 3);
        assertEquals(fixture.logged("evacuation-view-fresh").size(), 1);
    }

    /** Guards against starts after a pause of the VM that only the wall clock shows. */
    @Test
    public void pauseDiscardsTheConfirmation() {
        EvacuationFixture fixture = EvacuationFixture.leading("b1");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.submit("k", LeaderFixture.job(1));
        long before = fixture.leader.now();
        fixture.leader.post(
                new WorkflowEvent.Tick(before, LeaderFixture.wallMillis(before) + 60_000));
        fixture.reportEvacuations(before - 100, NONE);
        assertFalse(fixture.leader.state().evacuations().isFresh(before));
        fixture.reportEvacuations(before, NONE);
        assertTrue(fixture.leader.state().evacuations().isFresh(before));
    }

    /** Guards against a lost evacuation when the request is removed and written again. */
    @Test
    public void newestOfSeveralChangesCounts() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1");
        for (int i = 0; i < 3; i++) {
            fixture.leader.advance(20);
            fixture.evacuate("a");
            assertTrue(covers(fixture, "a"));
            fixture.withdraw("a");
            assertFalse(covers(fixture, "a"));
        }
        fixture.leader.advance(20);
        fixture.evacuate("a");
        fixture.submit("j", LeaderFixture.job(2, 16, false));
        fixture.advance(300, "a1", "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("b1"));
        assertEquals(fixture.logged("zone-evacuated").size(), 4);
        assertEquals(fixture.logged("zone-returned").size(), 3);
    }

    /** Guards against an unreadable value that ends or begins an evacuation. */
    @Test
    public void unreadableValueChangesNothing() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1");
        fixture.evacuate("a");
        fixture.leader.advance(20);
        fixture.write("a", false);
        fixture.write("b", false);
        fixture.reportEvacuations();
        fixture.advance(1_000, "a1", "b1");
        assertTrue(covers(fixture, "a"));
        assertFalse(covers(fixture, "b"));
        assertEquals(fixture.logged("evacuation-unreadable").size(), 2, "one for each revision");
        fixture.write("b", false);
        fixture.reportEvacuations();
        assertEquals(fixture.logged("evacuation-unreadable").size(), 3);
        fixture.write("b", true);
        fixture.reportEvacuations();
        assertTrue(covers(fixture, "b"));
    }

    /** Guards against starts by an entry that has only ever seen an unreadable value. */
    @Test
    public void unreadableValueEvacuatesIfNothingIsKnown() {
        EvacuationFixture fixture = EvacuationFixture.following();
        fixture.write("a", false);
        fixture.leader.winClaim(snapshot(fixture.requests()));
        assertTrue(covers(fixture, "a"));
    }

    /** Guards against an evacuation of workers whose entries name no zone. */
    @Test
    public void emptyZoneIsIgnoredWithAWarning() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1");
        fixture.evacuate("");
        fixture.advance(500, "a1");
        assertEquals(fixture.leader.state().evacuations().zones().size(), 0);
        assertEquals(fixture.logged("evacuation-unreadable").size(), 1);
    }
}
