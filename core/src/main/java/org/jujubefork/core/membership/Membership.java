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

/** Keeps track of other entries and of the configuration that they have in force. */
public final class Membership {
    /** Silence after which a member is forgotten; VMs that are replaced get other names. */
    static final long FORGET_AFTER_MILLIS = 600_000;

    /** Entries up to which gossip is sent at its normal interval. */
    private static final int ENTRIES_PER_SCALE = 16;

    private Membership() {}

    /** Reduces news of other entries. */
    public static Transition reduce(State state, MembershipEvent event) {
        return switch (event) {
            case MembershipEvent.GossipReceived e -> Gossip.merge(state, e);
            case MembershipEvent.PeersDiscovered e -> Transition.of(discovered(state, e));
            case MembershipEvent.ProbeReceived e -> ConfigurationSync.replyToProbe(state, e);
            case MembershipEvent.ProbeReplied e -> ConfigurationSync.recordProbe(state, e);
        };
    }

    private static State discovered(State state, MembershipEvent.PeersDiscovered event) {
        MembershipState known = state.membership();
        return state.withMembership(
                        known.withAddresses(
                                known.addresses()
                                        .plusAll(event.peerAddresses())
                                        .minus(state.self().peerAddress())))
                .withOwnership(state.ownership().listing(TreePSet.from(event.peerAddresses())));
    }

    /** Reduces news of the store. */
    public static Transition reduce(State state, StoreEvent event) {
        return switch (event) {
            case StoreEvent.StoreContacted e -> {
                MembershipState contacted = state.membership().storeContacted(e.sentAtMillis());
                yield Transition.of(
                        state.withMembership(
                                state.configuration().isPresent()
                                        ? contacted.asVerified()
                                        : contacted));
            }
            case StoreEvent.StoreFailed e -> Transition.of(state);
        };
    }

    /** Puts a configuration into force if it is newer than the one in force. */
    public static Transition reduce(State state, ConfigurationLoaded event) {
        return ConfigurationSync.load(state, event);
    }

    /** Sends gossip and probes when they are due, and notes which members are dead. */
    public static Transition tick(State state, Tick tick) {
        return Transition.of(state)
                .then(Membership::noteDead)
                .then(s -> Gossip.sendIfDue(s, tick))
                .then(ConfigurationSync::probeIfDue)
                .then(ConfigurationSync::fetchTick)
                .then(ConfigurationSync::verifyByMajority);
    }

    /** Returns this entry's own row. */
    public static MemberRow ownRow(State state) {
        return OwnRow.build(state, state.membership().gossip().heartbeat());
    }

    /** Returns whether {@code member} is alive as far as this entry knows. */
    public static boolean isAlive(State state, Member member) {
        return member.isHeardWithin(
                state.timing().deadAfterMillis() * scale(state), state.nowMillis());
    }

    /** Returns whether new requests may be sent to {@code member}. */
    public static boolean isResponsive(State state, Member member) {
        return member.isHeardWithin(
                state.timing().suspectAfterMillis() * scale(state), state.nowMillis());
    }

    /** Returns by how much rounds of gossip are slowed down for the number of entries. */
    static int scale(State state) {
        return 1 + state.membership().members().size() / ENTRIES_PER_SCALE;
    }

    private static Transition noteDead(State state) {
        Transition result = Transition.of(state);
        for (Member member : state.membership().members().values()) {
            boolean wasDead = state.membership().gossip().dead().contains(name(member));
            boolean alive = isAlive(state, member);
            if (alive == wasDead) {
                result = result.then(s -> note(s, member, alive));
            }
            if (!member.isHeardWithin(FORGET_AFTER_MILLIS, state.nowMillis())) {
                result = result.withState(forget(result.state(), member));
            }
        }
        return result;
    }

    private static Transition note(State state, Member member, boolean alive) {
        MembershipState membership = state.membership();
        GossipState gossip = membership.gossip();
        String name = name(member);
        GossipState noted =
                gossip.withDead(alive ? gossip.dead().minus(name) : gossip.dead().plus(name));
        long silent = state.nowMillis() - member.lastHeardMillis();
        return Transition.of(state.withMembership(membership.withGossip(noted)))
                .with(
                        new LogDecision(
                                DecisionKind.MEMBER,
                                member.row().id().toString(),
                                Optional.empty(),
                                alive ? "alive" : "dead",
                                alive ? "heard again" : "no heartbeat",
                                0,
                                silent));
    }

    private static State forget(State state, Member member) {
        MembershipState membership = state.membership();
        GossipState gossip = membership.gossip().withoutPeer(member.row().peerAddress());
        return state.withMembership(
                membership
                        .withMembers(membership.members().minus(name(member)))
                        .withGossip(gossip.withDead(gossip.dead().minus(name(member)))));
    }

    private static String name(Member member) {
        return member.row().id().name();
    }
}
