package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.pcollections.TreePSet;

/** Tracks the liveness of other entries and the configuration that they have in force. */
public final class Membership {
    /**
     * Time without a heartbeat after which a member is removed. A VM that replaces another VM may
     * have a new name, so dead members would accumulate otherwise.
     */
    static final long REMOVE_AFTER_MILLIS = 600_000;

    /**
     * Each time the number of members grows by this number, {@link #gossipIntervalScale} grows by
     * one, which bounds the traffic of each entry.
     */
    private static final int ENTRIES_PER_SCALE_STEP = 16;

    private Membership() {}

    /** Handles a message from another entry or an updated list of peers. */
    public static Transition reduce(State state, MembershipEvent event) {
        return switch (event) {
            case MembershipEvent.GossipReceived e -> Gossip.merge(state, e);
            case MembershipEvent.PeersDiscovered e ->
                    Transition.of(handlePeersDiscovered(state, e));
            case MembershipEvent.ProbeReceived e -> ConfigurationSync.replyToProbe(state, e);
            case MembershipEvent.ProbeReplied e -> ConfigurationSync.recordProbeReply(state, e);
        };
    }

    private static State handlePeersDiscovered(State state, MembershipEvent.PeersDiscovered event) {
        MembershipState membership = state.membership();
        return state.withMembership(
                        membership.withPeerAddresses(
                                membership
                                        .peerAddresses()
                                        .plusAll(event.peerAddresses())
                                        .minus(state.self().peerAddress())))
                .withOwnership(
                        state.ownership().withListedEntries(TreePSet.from(event.peerAddresses())));
    }

    /**
     * Handles the result of a store read. Contact with the store verifies the configuration in
     * force.
     */
    public static Transition reduce(State state, StoreEvent event) {
        return switch (event) {
            case StoreEvent.StoreContacted e -> {
                MembershipState contacted = state.membership().withStoreContact(e.sentAtMillis());
                yield Transition.of(
                        state.withMembership(
                                state.configuration().isPresent()
                                        ? contacted.asVerified()
                                        : contacted));
            }
            case StoreEvent.StoreFailed e -> Transition.of(state);
        };
    }

    /** Puts the loaded configuration into force if it is newer than the current configuration. */
    public static Transition reduce(State state, ConfigurationLoaded event) {
        return ConfigurationSync.load(state, event);
    }

    /** Updates the liveness of members, and sends gossip, probes and fetches that are due. */
    public static Transition tick(State state, Tick tick) {
        return Transition.of(state)
                .then(Membership::updateLiveness)
                .then(s -> Gossip.sendIfDue(s, tick))
                .then(ConfigurationSync::probeIfDue)
                .then(ConfigurationSync::fetchFromNewerMember)
                .then(ConfigurationSync::verifyByMajority);
    }

    /**
     * Returns a row with the current state of this entry, which may not have been published yet.
     */
    public static MemberRow ownRow(State state) {
        return OwnMemberRow.build(state, state.membership().gossip().heartbeat());
    }

    /**
     * Returns whether this entry considers {@code member} alive: its newest heartbeat is within the
     * dead time-out, scaled by the number of members.
     */
    public static boolean isAlive(State state, Member member) {
        return member.hasHeartbeatWithin(
                state.timing().deadAfterMillis() * gossipIntervalScale(state), state.nowMillis());
    }

    /**
     * Returns whether new requests may be sent to {@code member}: its newest heartbeat is within
     * the shorter suspect time-out, scaled by the number of members.
     */
    public static boolean isResponsive(State state, Member member) {
        return member.hasHeartbeatWithin(
                state.timing().suspectAfterMillis() * gossipIntervalScale(state),
                state.nowMillis());
    }

    /**
     * Returns the factor by which the gossip interval and the failure detection time-outs are
     * multiplied. The factor grows with the number of members.
     */
    static int gossipIntervalScale(State state) {
        return 1 + state.membership().members().size() / ENTRIES_PER_SCALE_STEP;
    }

    private static Transition updateLiveness(State state) {
        Transition result = Transition.of(state);
        for (Member member : state.membership().members().values()) {
            boolean wasDead = state.membership().gossip().deadMembers().contains(name(member));
            boolean isAlive = isAlive(state, member);
            if (isAlive == wasDead) {
                result = result.then(s -> recordLivenessChange(s, member, isAlive));
            }
            if (!member.hasHeartbeatWithin(REMOVE_AFTER_MILLIS, state.nowMillis())) {
                result = result.withState(removeMember(result.state(), member));
            }
        }
        return result;
    }

    private static Transition recordLivenessChange(State state, Member member, boolean isAlive) {
        MembershipState membership = state.membership();
        GossipState gossip = membership.gossip();
        String name = name(member);
        GossipState updated =
                gossip.withDeadMembers(
                        isAlive
                                ? gossip.deadMembers().minus(name)
                                : gossip.deadMembers().plus(name));
        long sinceHeartbeatMillis = state.nowMillis() - member.lastHeartbeatMillis();
        return Transition.of(state.withMembership(membership.withGossip(updated)))
                .with(
                        new LogDecision(
                                DecisionKind.MEMBER,
                                member.row().id().toString(),
                                Optional.empty(),
                                isAlive ? "alive" : "dead",
                                isAlive ? "heartbeat received again" : "no heartbeat",
                                0,
                                sinceHeartbeatMillis));
    }

    private static State removeMember(State state, Member member) {
        MembershipState membership = state.membership();
        GossipState gossip = membership.gossip().withoutPeer(member.row().peerAddress());
        return state.withMembership(
                membership
                        .withMembers(membership.members().minus(name(member)))
                        .withGossip(
                                gossip.withDeadMembers(gossip.deadMembers().minus(name(member)))));
    }

    private static String name(Member member) {
        return member.row().id().name();
    }
}
