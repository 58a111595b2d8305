package org.jujubefork.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.testing.Fixtures;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards that an entry never relies on a configuration that may have been replaced. */
public class ConfigurationFreshnessTest {
    private static final int ENTRIES = 5;

    private State state;
    private long now;
    private long probeId;

    @BeforeMethod
    public void start() {
        now = 1_000_000;
        state = State.initial(Fixtures.identity("e0", 1, "z"), Timing.DEFAULT, now);
    }

    private void apply(Event event) {
        var transition = Reducer.reduce(state, event);
        state = transition.state();
        for (var effect : transition.effects()) {
            if (effect instanceof GossipEffect.SendProbe probe) {
                probeId = probe.probeId();
            }
        }
    }

    private void load(long version, int expected) {
        apply(
                new ConfigurationLoaded(
                        now,
                        Fixtures.configuration(version, expected, Map.of("a", 5)),
                        Optional.empty()));
    }

    private void hear(int others, long version) {
        for (int i = 1; i <= others; i++) {
            MemberRow row =
                    new MemberRow(
                            EntryId.of("e" + i, 1),
                            Fixtures.identity("e" + i, 1, "z").location(),
                            "e" + i + ":80",
                            "e" + i + ":70",
                            now,
                            version,
                            false,
                            false,
                            TreePMap.empty());
            apply(new MembershipEvent.GossipReceived(now, row.id(), TreePVector.singleton(row)));
        }
    }

    private void tick(long millis) {
        now += millis;
        apply(new Tick(now, 0));
    }

    private void reply(int from, long id, long version) {
        apply(new MembershipEvent.ProbeReplied(now, EntryId.of("e" + from, 1), id, version));
    }

    private boolean isFresh() {
        return ConfigurationFreshness.isFresh(state);
    }

    /** A run that has just started must not count itself in the majority. */
    @Test
    public void startedEntryNeedsAMajorityOfOthers() {
        load(3, ENTRIES);
        hear(4, 3);
        tick(1_000);
        reply(1, probeId, 3);
        reply(2, probeId, 3);
        tick(100);
        assertFalse(isFresh(), "two others of five are no majority");
        reply(3, probeId, 3);
        tick(100);
        assertTrue(isFresh());
        assertTrue(state.membership().verified());
    }

    /** An entry that is not verified may hold an old version and must not confirm it to others. */
    @Test
    public void startedEntryAnswersNoProbes() {
        load(3, ENTRIES);
        var probe = new MembershipEvent.ProbeReceived(now, EntryId.of("e1", 1), "e1:70", 7);
        assertEquals(Reducer.reduce(state, probe).effects(), TreePVector.empty());
        apply(new StoreEvent.StoreContacted(now, now));
        assertEquals(
                Reducer.reduce(state, probe).effects(),
                TreePVector.singleton(new GossipEffect.SendProbeReply("e1:70", 7, 3)));
    }

    private void verify() {
        load(3, ENTRIES);
        hear(4, 3);
        apply(new StoreEvent.StoreContacted(now, now));
        tick(1_500);
    }

    /** The validity runs from the send time of the probe, however late the answer arrives. */
    @Test
    public void delayedReplyCountsFromItsSendTime() {
        verify();
        long sent = probeId;
        tick(1_000);
        tick(1_600);
        assertFalse(isFresh(), "the store contact is 4.1 s old");
        reply(1, sent, 3);
        reply(2, sent, 3);
        assertTrue(isFresh());
        tick(sent + 3_000 - now);
        assertTrue(isFresh());
        tick(1);
        assertFalse(isFresh(), "the answers are 3 s old");
    }

    /** The id of a probe of another run is a time of another clock. */
    @Test
    public void replyToAProbeOfAnotherRunIsIgnored() {
        verify();
        tick(1_900);
        tick(1_900);
        long foreign = now + 500_000;
        reply(1, foreign, 3);
        reply(2, foreign, 3);
        assertFalse(isFresh());
    }

    /** A member with a newer version proves that the own one was replaced. */
    @Test
    public void newerVersionElsewhereDoesNotConfirm() {
        verify();
        tick(1_500);
        tick(1_500);
        reply(1, probeId, 3);
        reply(2, probeId, 4);
        assertFalse(isFresh());
        reply(3, probeId, 2);
        assertTrue(isFresh(), "an older version elsewhere confirms");
    }

    /** What was proved before a pause says nothing about the time after it. */
    @Test
    public void evidenceFromBeforeAPauseIsDropped() {
        verify();
        tick(1_500);
        reply(1, probeId, 3);
        reply(2, probeId, 3);
        assertTrue(isFresh());
        long before = probeId;
        now += 2_500;
        apply(new StoreEvent.StoreFailed(now));
        assertFalse(isFresh());
        reply(1, before, 3);
        reply(2, before, 3);
        assertFalse(isFresh(), "answers to probes from before the pause");
        assertTrue(
                state.membership().members().values().stream()
                        .allMatch(m -> Membership.isAlive(state, m)),
                "a pause is no silence of others");
    }

    /** More live entries than expected could form two majorities that do not intersect. */
    @Test
    public void liveEntriesBeyondTheExpectedRaiseTheMajority() {
        verify();
        hear(9, 3);
        tick(1_000);
        tick(1_000);
        tick(1_000);
        hear(9, 3);
        reply(1, probeId, 3);
        reply(2, probeId, 3);
        assertFalse(isFresh(), "3 of 10 live entries");
    }

    /** An entry with the old number must not find a majority once the change is accepted. */
    @Test
    public void changedNumberOfEntriesNeedsMoreReports() {
        load(3, 3);
        assertEquals(ConfigurationAcceptance.requiredReportCount(state), 2);
        load(4, 8);
        assertEquals(ConfigurationAcceptance.requiredReportCount(state), 7);
        load(5, 7);
        assertEquals(ConfigurationAcceptance.requiredReportCount(state), 4);
    }

    /** An operator must see who reports a version and who does not. */
    @Test
    public void statusNamesEntries() {
        load(4, ENTRIES);
        hear(1, 4);
        var status = ConfigurationAcceptance.status(state, 4);
        assertEquals(status.inForceOn().toString(), "[e0, e1]");
        assertFalse(status.isAccepted());
        now++;
        hear(4, 3);
        now++;
        hear(2, 5);
        status = ConfigurationAcceptance.status(state, 4);
        assertEquals(status.pending().toString(), "[e3, e4]");
        assertTrue(status.isAccepted());
    }

    /** A configuration that arrives late must not replace a newer one. */
    @Test
    public void versionsNeverGoBack() {
        load(4, ENTRIES);
        load(3, ENTRIES);
        assertEquals(state.configuration().orElseThrow().version(), 4L);
    }
}
