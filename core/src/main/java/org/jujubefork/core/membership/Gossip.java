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
 * Sends and merges rows of entries.
 *
 * <p>A message holds the rows that changed since the peer last had them, and a heartbeat of each
 * live entry that the peer has not seen yet. With n entries, at most 3 messages a round, a round
 * every {@code T = ceil(n / 16)} seconds, b bytes per heartbeat and r bytes per row, an entry sends
 * at most {@code 3 / T * (n * b + 8 * r)} bytes a second: no more than {@code 48 * b + 24 * r} at
 * any n. Silence limits grow with T, so that up to 16 entries are found dead after 5 s.
 */
final class Gossip {
    /** Most rows in a message; others follow in later rounds. */
    static final int MAX_ROWS = 8;

    /** Most heartbeats in a message. */
    static final int MAX_HEARTBEATS = 64;

    private Gossip() {}

    /** Sends a round of gossip if one is due. */
    static Transition sendIfDue(State state, Tick tick) {
        GossipState gossip = state.membership().gossip();
        long interval =
                state.timing().gossipIntervalMillis() * Membership.gossipIntervalScale(state);
        if (state.nowMillis() - gossip.sentAtMillis() < interval) {
            return Transition.of(state);
        }
        GossipState round = OwnMemberRow.publish(state, gossip.startRound(state.nowMillis()));
        State sending = state.withMembership(state.membership().withGossip(round));
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
        MemberRow own = gossip.ownRow().orElseThrow();
        PVector<MemberRow> rows = TreePVector.empty();
        PVector<Heartbeat> beats = TreePVector.singleton(heartbeatOf(own, 0));
        boolean ownLacking = lacksRow(gossip.peerVersions(address, own.id().name()), own);
        if (ownLacking) {
            rows = rows.plus(own);
        }
        gossip = gossip.withPeerVersion(address, versionOf(own, ownLacking));
        List<Member> members = new ArrayList<>(state.membership().members().values());
        int start = members.isEmpty() ? 0 : (int) Long.remainderUnsigned(random, members.size());
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get((start + i) % members.size());
            MemberRow row = member.row();
            if (!Membership.isAlive(state, member) || row.peerAddress().equals(address)) {
                continue;
            }
            MemberVersion has = gossip.peerVersions(address, row.id().name());
            boolean sendRow =
                    lacksRow(has, row)
                            && rows.size() < MAX_ROWS
                            && (lacksMember(has, row)
                                    || targets.relaysRow(row.peerAddress(), address));
            boolean sendBeat = lacksHeartbeat(has, row) && beats.size() < MAX_HEARTBEATS;
            if (!sendRow && !sendBeat) {
                continue;
            }
            rows = sendRow ? rows.plus(row) : rows;
            long age = Math.max(0, state.nowMillis() - member.lastHeartbeatMillis());
            beats = beats.plus(heartbeatOf(row, age));
            gossip = gossip.withPeerVersion(address, versionOf(row, sendRow));
        }
        return Transition.of(state.withMembership(state.membership().withGossip(gossip)))
                .with(new GossipEffect.SendGossip(address, rows, beats));
    }

    private static Heartbeat heartbeatOf(MemberRow row, long ageMillis) {
        return new Heartbeat(row.id(), row.heartbeat(), ageMillis);
    }

    private static MemberVersion versionOf(MemberRow row, boolean withRow) {
        return new MemberVersion(row.id(), row.heartbeat(), withRow ? row.revision() : -1);
    }

    /** Returns whether the peer has no row at all of this run; it is then sent on every path. */
    private static boolean lacksMember(MemberVersion has, MemberRow row) {
        return has.id().incarnation() < row.id().incarnation() || has.revision() < 0;
    }

    private static boolean lacksRow(MemberVersion has, MemberRow row) {
        return has.id().incarnation() < row.id().incarnation()
                || (has.id().incarnation() == row.id().incarnation()
                        && has.revision() < row.revision());
    }

    private static boolean lacksHeartbeat(MemberVersion has, MemberRow row) {
        return has.id().incarnation() < row.id().incarnation()
                || (has.id().incarnation() == row.id().incarnation()
                        && has.heartbeat() < row.heartbeat());
    }

    /** Merges a message. */
    static Transition merge(State state, MembershipEvent.GossipReceived event) {
        Transition result = Transition.of(state);
        for (MemberRow row : event.rows()) {
            long age = ageOf(event.heartbeats(), row);
            result = result.then(s -> mergeRow(s, row, s.nowMillis() - age));
        }
        for (Heartbeat beat : event.heartbeats()) {
            result = result.withState(mergeHeartbeat(result.state(), beat));
        }
        return result.withState(recordSenderVersions(result.state(), event));
    }

    private static long ageOf(PVector<Heartbeat> beats, MemberRow row) {
        return beats.stream()
                .filter(b -> b.id().equals(row.id()))
                .mapToLong(Heartbeat::ageMillis)
                .findFirst()
                .orElse(0);
    }

    private static Transition mergeRow(State state, MemberRow row, long heardMillis) {
        if (row.id().name().equals(state.self().id().name())) {
            return IncarnationCheck.drainIfSuperseded(state, row.id());
        }
        MembershipState membership = state.membership();
        Member known = membership.members().get(row.id().name());
        if (known != null && !row.isNewerThan(known.row())) {
            return Transition.of(state);
        }
        boolean restarted =
                known != null && known.row().id().incarnation() < row.id().incarnation();
        if (restarted) {
            // A new run has nothing of what was sent to the one before.
            membership =
                    membership.withGossip(
                            membership.gossip().withoutPeer(known.row().peerAddress()));
        }
        boolean beating = known == null || restarted || row.heartbeat() > known.row().heartbeat();
        Member updated =
                known == null
                        ? Member.of(row, heardMillis)
                        : known.withUpdate(
                                row, beating ? heardMillis : known.lastHeartbeatMillis());
        State merged = state.withMembership(membership.withMember(updated));
        return ConfigurationSync.fetchIfNewer(merged, row, row.configurationVersion());
    }

    private static State mergeHeartbeat(State state, Heartbeat beat) {
        if (beat.id().name().equals(state.self().id().name())) {
            return IncarnationCheck.drainIfSuperseded(state, beat.id()).state();
        }
        Member known = state.membership().members().get(beat.id().name());
        if (known == null
                || !known.row().id().equals(beat.id())
                || beat.heartbeat() <= known.row().heartbeat()) {
            return state;
        }
        Member heard =
                known.withUpdate(
                        known.row().withHeartbeat(beat.heartbeat()),
                        state.nowMillis() - beat.ageMillis());
        return state.withMembership(state.membership().withMember(heard));
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
        for (Heartbeat beat : event.heartbeats()) {
            gossip =
                    gossip.withPeerVersion(
                            address, new MemberVersion(beat.id(), beat.heartbeat(), -1));
        }
        return state.withMembership(state.membership().withGossip(gossip));
    }
}
