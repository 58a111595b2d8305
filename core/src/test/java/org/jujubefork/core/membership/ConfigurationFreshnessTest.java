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

/** Guards against an entry that relies on a configuration that may have been replaced. */
public class ConfigurationFreshnessTest {
    private static final int ENTRY_COUNT = 5;

    private State state;
    private long nowMillis;
    private long probeId;

    @BeforeMethod
    public void start() {
        nowMillis = 1_000_000;
        state = State.initial(Fixtures.identity("e0", 1, "z"), Timing.DEFAULT, nowMillis);
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

    private void loadConfiguration(long version, int expected) {
        apply(
                new ConfigurationLoaded(
                        nowMillis,
                        Fixtures.configuration(version, expected, Map.of("a", 5)),
                        Optional.empty()));
    }

    private void receiveRows(int entryCount, long version) {
        for (int i = 1; i <= entryCount; i++) {
            MemberRow row =
                    new MemberRow(
                            EntryId.of("e" + i, 1),
                            Fixtures.identity("e" + i, 1, "z").location(),
                            "e" + i + ":80",
                            "e" + i + ":70",
                            nowMillis,
                            version,
                            false,
                            false,
                            TreePMap.empty());
            apply(
                    new MembershipEvent.GossipReceived(
                            nowMillis, row.id(), TreePVector.singleton(row)));
        }
    }

    private void advance(long millis) {
        nowMillis += millis;
        apply(new Tick(nowMillis, 0));
    }

    private void replyToProbe(int from, long id, long version) {
        apply(new MembershipEvent.ProbeReplied(nowMillis, EntryId.of("e" + from, 1), id, version));
    }

    private boolean isFresh() {
        return ConfigurationFreshness.isFresh(state);
    }

    /** Guards against an entry that has just started and counts itself in the majority. */
    @Test
    public void startedEntryNeedsMajorityOfOthers() {
        loadConfiguration(3, ENTRY_COUNT);
        receiveRows(4, 3);
        advance(1_000);
        replyToProbe(1, probeId, 3);
        replyToProbe(2, probeId, 3);
        advance(100);
        assertFalse(isFresh(), "two others of five are not a majority");
        replyToProbe(3, probeId, 3);
        advance(100);
        assertTrue(isFresh());
        assertTrue(state.membership().verified());
    }

    /**
     * Guards against an entry that confirms an outdated version to others before it is verified.
     */
    @Test
    public void startedEntryAnswersNoProbes() {
        loadConfiguration(3, ENTRY_COUNT);
        var probe = new MembershipEvent.ProbeReceived(nowMillis, EntryId.of("e1", 1), "e1:70", 7);
        assertEquals(Reducer.reduce(state, probe).effects(), TreePVector.empty());
        apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        assertEquals(
                Reducer.reduce(state, probe).effects(),
                TreePVector.singleton(new GossipEffect.SendProbeReply("e1:70", 7, 3)));
    }

    private void startVerified() {
        loadConfiguration(3, ENTRY_COUNT);
        receiveRows(4, 3);
        apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        advance(1_500);
    }

    /**
     * Guards against a delayed answer whose age counts from its arrival instead of from the time
     * when the probe was sent.
     */
    @Test
    public void delayedReplyIsValidFromProbeSendTime() {
        startVerified();
        long sentMillis = probeId;
        advance(1_000);
        advance(1_600);
        assertFalse(isFresh(), "the store contact is 4.1 s old");
        replyToProbe(1, sentMillis, 3);
        replyToProbe(2, sentMillis, 3);
        assertTrue(isFresh());
        advance(sentMillis + 3_000 - nowMillis);
        assertTrue(isFresh());
        advance(1);
        assertFalse(isFresh(), "the answers are 3 s old");
    }

    /**
     * Guards against accepting answers to probes of another incarnation. The id of a probe is its
     * send time, which in this case comes from another clock.
     */
    @Test
    public void replyToProbeOfAnotherIncarnationIsIgnored() {
        startVerified();
        advance(1_900);
        advance(1_900);
        long foreignProbeId = nowMillis + 500_000;
        replyToProbe(1, foreignProbeId, 3);
        replyToProbe(2, foreignProbeId, 3);
        assertFalse(isFresh());
    }

    /** Guards against counting a member that has a newer version as a confirmation. */
    @Test
    public void newerVersionElsewhereDoesNotConfirm() {
        startVerified();
        advance(1_500);
        advance(1_500);
        replyToProbe(1, probeId, 3);
        replyToProbe(2, probeId, 4);
        assertFalse(isFresh());
        replyToProbe(3, probeId, 2);
        assertTrue(isFresh(), "an older version at another entry is a confirmation");
    }

    /** Guards against answers from before a pause that count as confirmations after it. */
    @Test
    public void answersFromBeforePauseAreDropped() {
        startVerified();
        advance(1_500);
        replyToProbe(1, probeId, 3);
        replyToProbe(2, probeId, 3);
        assertTrue(isFresh());
        long earlierProbeId = probeId;
        nowMillis += 2_500;
        apply(new StoreEvent.StoreFailed(nowMillis));
        assertFalse(isFresh());
        replyToProbe(1, earlierProbeId, 3);
        replyToProbe(2, earlierProbeId, 3);
        assertFalse(isFresh(), "answers to probes from before the pause do not count");
        assertTrue(
                state.membership().members().values().stream()
                        .allMatch(m -> Membership.isAlive(state, m)),
                "the pause does not count as time without heartbeats");
    }

    /**
     * Guards against two majorities that do not intersect when more entries are live than expected.
     */
    @Test
    public void moreLiveEntriesThanExpectedRaiseMajority() {
        startVerified();
        receiveRows(9, 3);
        advance(1_000);
        advance(1_000);
        advance(1_000);
        receiveRows(9, 3);
        replyToProbe(1, probeId, 3);
        replyToProbe(2, probeId, 3);
        assertFalse(isFresh(), "3 of 10 live entries are not a majority");
    }

    /**
     * Guards against an entry that still finds a majority for the old number of entries after the
     * change of the number is accepted.
     */
    @Test
    public void changedNumberOfEntriesNeedsMoreReports() {
        loadConfiguration(3, 3);
        assertEquals(ConfigurationAcceptance.requiredReportCount(state), 2);
        loadConfiguration(4, 8);
        assertEquals(ConfigurationAcceptance.requiredReportCount(state), 7);
        loadConfiguration(5, 7);
        assertEquals(ConfigurationAcceptance.requiredReportCount(state), 4);
    }

    /** Guards against a rollout status that lists an entry in the wrong group. */
    @Test
    public void statusListsConfirmedAndPendingEntries() {
        loadConfiguration(4, ENTRY_COUNT);
        receiveRows(1, 4);
        var status = ConfigurationAcceptance.status(state, 4);
        assertEquals(status.inForceOn().toString(), "[e0, e1]");
        assertFalse(status.isAccepted());
        nowMillis++;
        receiveRows(4, 3);
        nowMillis++;
        receiveRows(2, 5);
        status = ConfigurationAcceptance.status(state, 4);
        assertEquals(status.pending().toString(), "[e3, e4]");
        assertTrue(status.isAccepted());
    }

    /** Guards against a delayed configuration that replaces a newer one. */
    @Test
    public void versionsNeverGoBack() {
        loadConfiguration(4, ENTRY_COUNT);
        loadConfiguration(3, ENTRY_COUNT);
        assertEquals(state.configuration().orElseThrow().version(), 4L);
    }
}
