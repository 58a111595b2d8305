package org.jujubefork.core.membership;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.membership.GossipState.MemberVersion;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Sends gossip messages and merges received ones.
 *
 * <p>A message contains the rows that have changed since they were last sent to the peer, and the
 * heartbeats of live entries that the peer does not have yet. With n entries, at most 3 messages a
 * round, a round every {@code T = ceil(n / 16)} seconds, b bytes per heartbeat and r bytes per row,
 * an entry sends at most {@code 3 / T * (n * b + 8 * r)} bytes a second: no more than {@code 48 * b
 * + 24 * r} at any n. Failure detection time-outs grow with T; in a cluster of up to 16 entries, a
 * dead entry is detected after 5 s.
 */
final class Gossip {
    /** Maximum number of rows in a message; the others follow in later rounds. */
    static final int MAX_ROWS = 8;

    /** Maximum number of heartbeats in a message; the others follow in later rounds. */
    static final int MAX_HEARTBEATS = 64;

    private Gossip() {}

    /** Sends a round of gossip if one is due. */
    static Transition sendIfDue(State state, Tick tick) {
        GossipState gossip = state.membership().gossip();
        long intervalMillis =
                state.timing().gossipIntervalMillis() * Membership.gossipIntervalScale(state);
        if (state.nowMillis() - gossip.sentAtMillis() < intervalMillis) {
            return Transition.of(state);
        }
        GossipState nextRound = OwnMemberRow.publish(state, gossip.startRound(state.nowMillis()));
        State sending = state.withMembership(state.membership().withGossip(nextRound));
        GossipTargets targets = GossipTargets.of(sending, tick.random());
        Transition result = Transition.of(sending);
        for (String address : targets.addresses()) {
            result = result.then(s -> send(s, address, targets, tick.random()));
        }
        return result;
    }

    private static Transition send(
            State state, String address, GossipTargets targets, long random) {
        GossipState gossip = state.membership().gossip();
        MemberRow ownRow = gossip.ownRow().orElseThrow();
        PVector<MemberRow> rows = TreePVector.empty();
        PVector<Heartbeat> heartbeats = TreePVector.singleton(heartbeatOf(ownRow, 0));
        boolean sendOwnRow =
                lacksNewestRow(gossip.peerVersion(address, ownRow.id().name()), ownRow);
        if (sendOwnRow) {
            rows = rows.plus(ownRow);
        }
        gossip = gossip.withPeerVersion(address, versionOf(ownRow, sendOwnRow));
        List<Member> members = new ArrayList<>(state.membership().members().values());
        int start = members.isEmpty() ? 0 : (int) Long.remainderUnsigned(random, members.size());
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get((start + i) % members.size());
            MemberRow row = member.row();
            if (!Membership.isAlive(state, member) || row.peerAddress().equals(address)) {
                continue;
            }
            MemberVersion peerVersion = gossip.peerVersion(address, row.id().name());
            boolean sendRow =
                    lacksNewestRow(peerVersion, row)
                            && rows.size() < MAX_ROWS
                            && (lacksAnyRow(peerVersion, row)
                                    || targets.relaysRow(row.peerAddress(), address));
            boolean sendHeartbeat =
                    lacksNewestHeartbeat(peerVersion, row) && heartbeats.size() < MAX_HEARTBEATS;
            if (!sendRow && !sendHeartbeat) {
                continue;
            }
            rows = sendRow ? rows.plus(row) : rows;
            long ageMillis = Math.max(0, state.nowMillis() - member.lastHeartbeatMillis());
            heartbeats = heartbeats.plus(heartbeatOf(row, ageMillis));
            gossip = gossip.withPeerVersion(address, versionOf(row, sendRow));
        }
        return Transition.of(state.withMembership(state.membership().withGossip(gossip)))
                .with(new GossipEffect.SendGossip(address, rows, heartbeats));
    }

    private static Heartbeat heartbeatOf(MemberRow row, long ageMillis) {
        return new Heartbeat(row.id(), row.heartbeat(), ageMillis);
    }

    private static MemberVersion versionOf(MemberRow row, boolean withRow) {
        return new MemberVersion(row.id(), row.heartbeat(), withRow ? row.revision() : -1);
    }

    /**
     * Returns whether the peer has no row of the member's incarnation. Such a row is sent even if
     * {@link GossipTargets#relaysRow} does not select it for this peer.
     */
    private static boolean lacksAnyRow(MemberVersion peerVersion, MemberRow row) {
        return peerVersion.id().incarnation() < row.id().incarnation()
                || peerVersion.revision() < 0;
    }

    private static boolean lacksNewestRow(MemberVersion peerVersion, MemberRow row) {
        return peerVersion.id().incarnation() < row.id().incarnation()
                || (peerVersion.id().incarnation() == row.id().incarnation()
                        && peerVersion.revision() < row.revision());
    }

    private static boolean lacksNewestHeartbeat(MemberVersion peerVersion, MemberRow row) {
        return peerVersion.id().incarnation() < row.id().incarnation()
                || (peerVersion.id().incarnation() == row.id().incarnation()
                        && peerVersion.heartbeat() < row.heartbeat());
    }

    /** Merges the rows and heartbeats of a received message. */
    static Transition merge(State state, MembershipEvent.GossipReceived event) {
        Transition result = Transition.of(state);
        for (MemberRow row : event.rows()) {
            long ageMillis = ageOf(event.heartbeats(), row);
            result = result.then(s -> mergeRow(s, row, s.nowMillis() - ageMillis));
        }
        for (Heartbeat heartbeat : event.heartbeats()) {
            result = result.withState(mergeHeartbeat(result.state(), heartbeat));
        }
        return result.withState(recordSenderVersions(result.state(), event));
    }

    private static long ageOf(PVector<Heartbeat> heartbeats, MemberRow row) {
        return heartbeats.stream()
                .filter(h -> h.id().equals(row.id()))
                .mapToLong(Heartbeat::ageMillis)
                .findFirst()
                .orElse(0);
    }

    private static Transition mergeRow(State state, MemberRow row, long heartbeatMillis) {
        if (row.id().name().equals(state.self().id().name())) {
            return IncarnationCheck.drainIfSuperseded(state, row.id());
        }
        MembershipState membership = state.membership();
        Member current = membership.members().get(row.id().name());
        if (current != null && !row.isNewerThan(current.row())) {
            return Transition.of(state);
        }
        boolean isRestarted =
                current != null && current.row().id().incarnation() < row.id().incarnation();
        if (isRestarted) {
            // A restarted member has none of the rows that were sent to its earlier incarnation.
            membership =
                    membership.withGossip(
                            membership.gossip().withoutPeer(current.row().peerAddress()));
        }
        boolean hasNewHeartbeat =
                current == null || isRestarted || row.heartbeat() > current.row().heartbeat();
        Member updated =
                current == null
                        ? Member.of(row, heartbeatMillis)
                        : current.withUpdate(
                                row,
                                hasNewHeartbeat ? heartbeatMillis : current.lastHeartbeatMillis());
        State merged = state.withMembership(membership.withMember(updated));
        return ConfigurationSync.fetchIfNewer(merged, row, row.configurationVersion());
    }

    private static State mergeHeartbeat(State state, Heartbeat heartbeat) {
        if (heartbeat.id().name().equals(state.self().id().name())) {
            return IncarnationCheck.drainIfSuperseded(state, heartbeat.id()).state();
        }
        Member current = state.membership().members().get(heartbeat.id().name());
        if (current == null
                || !current.row().id().equals(heartbeat.id())
                || heartbeat.heartbeat() <= current.row().heartbeat()) {
            return state;
        }
        Member updated =
                current.withUpdate(
                        current.row().withHeartbeat(heartbeat.heartbeat()),
                        state.nowMillis() - heartbeat.ageMillis());
        return state.withMembership(state.membership().withMember(updated));
    }

    private static State recordSenderVersions(State state, MembershipEvent.GossipReceived event) {
        Member sender = state.membership().member(event.from()).orElse(null);
        if (sender == null) {
            return state;
        }
        String address = sender.row().peerAddress();
        GossipState gossip = state.membership().gossip();
        for (MemberRow row : event.rows()) {
            gossip = gossip.withPeerVersion(address, versionOf(row, true));
        }
        for (Heartbeat heartbeat : event.heartbeats()) {
            gossip =
                    gossip.withPeerVersion(
                            address, new MemberVersion(heartbeat.id(), heartbeat.heartbeat(), -1));
        }
        return state.withMembership(state.membership().withGossip(gossip));
    }
}
