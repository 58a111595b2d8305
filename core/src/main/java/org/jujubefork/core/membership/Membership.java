package org.jujubefork.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.placement.ShardSummaries;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Keeps track of other entries and of the configuration that they have in force. */
public final class Membership {
    /** Peers that get gossip in one round. */
    static final int GOSSIP_FANOUT = 3;

    /** Time between two attempts to read a newer configuration from another entry. */
    static final long FETCH_INTERVAL_MILLIS = 500;

    /** Age of the last store contact at which other entries are asked instead. */
    static final long PROBE_AFTER_MILLIS = 1_500;

    private Membership() {}

    /** Reduces news of other entries. */
    public static Transition reduce(State state, MembershipEvent event) {
        return switch (event) {
            case MembershipEvent.GossipReceived e -> mergeRows(state, e.rows());
            case MembershipEvent.PeersDiscovered e ->
                    Transition.of(
                            state.withMembership(
                                    state.membership()
                                            .withAddresses(
                                                    state.membership()
                                                            .addresses()
                                                            .plusAll(e.peerAddresses())
                                                            .minus(state.self().peerAddress()))));
            case MembershipEvent.ProbeReceived e -> replyToProbe(state, e);
            case MembershipEvent.ProbeReplied e -> recordProbe(state, e);
        };
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
        Configuration loaded = event.configuration();
        if (state.configuration().map(Configuration::version).orElse(0L) >= loaded.version()) {
            return Transition.of(state);
        }
        String source = event.peer().map(p -> "from " + p).orElse("from the store");
        return Transition.of(state.withConfiguration(loaded))
                .with(
                        new LogDecision(
                                DecisionKind.CONFIGURATION,
                                "version-" + loaded.version(),
                                Optional.empty(),
                                "in-force",
                                source,
                                0,
                                0));
    }

    /** Sends gossip and probes when they are due. */
    public static Transition tick(State state, Tick tick) {
        return Transition.of(state)
                .then(s -> gossipIfDue(s, tick))
                .then(Membership::probeIfDue)
                .then(Membership::verifyByMajority);
    }

    /** Returns this entry's own row. */
    public static MemberRow ownRow(State state) {
        return new MemberRow(
                state.self().id(),
                state.self().location(),
                state.self().httpAddress(),
                state.self().peerAddress(),
                state.membership().heartbeat(),
                state.configuration().map(Configuration::version).orElse(0L),
                Freshness.isStoreContactFresh(state),
                state.draining(),
                ShardSummaries.of(state));
    }

    /** Returns whether {@code member} is alive as far as this entry knows. */
    public static boolean isAlive(State state, Member member) {
        return member.isHeardWithin(state.timing().deadAfterMillis(), state.nowMillis());
    }

    /** Returns whether new requests may be sent to {@code member}. */
    public static boolean isResponsive(State state, Member member) {
        return member.isHeardWithin(state.timing().suspectAfterMillis(), state.nowMillis());
    }

    private static Transition mergeRows(State state, PVector<MemberRow> rows) {
        Transition result = Transition.of(state);
        for (MemberRow row : rows) {
            result = result.then(s -> mergeRow(s, row));
        }
        return result;
    }

    private static Transition mergeRow(State state, MemberRow row) {
        if (row.id().name().equals(state.self().id().name())) {
            return Transition.of(state);
        }
        Member known = state.membership().members().get(row.id().name());
        if (known != null && !row.isNewerThan(known.row())) {
            return Transition.of(state);
        }
        Member updated =
                known == null
                        ? Member.of(row, state.nowMillis())
                        : known.heard(row, state.nowMillis());
        State merged = state.withMembership(state.membership().withMember(updated));
        return fetchIfNewer(merged, row, row.configurationVersion());
    }

    private static Transition replyToProbe(State state, MembershipEvent.ProbeReceived probe) {
        Optional<Configuration> configuration = state.configuration();
        if (configuration.isEmpty() || !state.membership().verified()) {
            return Transition.of(state);
        }
        return Transition.of(state)
                .with(
                        new GossipEffect.SendProbeReply(
                                probe.peerAddress(),
                                probe.probeId(),
                                configuration.get().version()));
    }

    private static Transition recordProbe(State state, MembershipEvent.ProbeReplied reply) {
        Optional<Member> member = state.membership().member(reply.from());
        if (member.isEmpty()) {
            return Transition.of(state);
        }
        Member probed = member.get().probed(reply.probeId(), reply.configurationVersion());
        State recorded = state.withMembership(state.membership().withMember(probed));
        return fetchIfNewer(recorded, probed.row(), reply.configurationVersion());
    }

    private static Transition fetchIfNewer(State state, MemberRow row, long version) {
        long own = state.configuration().map(Configuration::version).orElse(0L);
        long sinceFetch = state.nowMillis() - state.membership().fetchedAtMillis();
        if (version <= own || sinceFetch < FETCH_INTERVAL_MILLIS) {
            return Transition.of(state);
        }
        return Transition.of(state.withMembership(state.membership().fetched(state.nowMillis())))
                .with(new GossipEffect.FetchConfiguration(row.id(), row.peerAddress()));
    }

    private static Transition gossipIfDue(State state, Tick tick) {
        MembershipState membership = state.membership();
        if (state.nowMillis() - membership.gossipedAtMillis()
                < state.timing().gossipIntervalMillis()) {
            return Transition.of(state);
        }
        State sending = state.withMembership(membership.gossiped(state.nowMillis()));
        PVector<MemberRow> rows = TreePVector.singleton(ownRow(sending));
        for (Member member : membership.members().values()) {
            if (isAlive(state, member)) {
                rows = rows.plus(member.row());
            }
        }
        Transition result = Transition.of(sending);
        for (String address : gossipTargets(state, tick.random())) {
            result = result.with(new GossipEffect.SendGossip(address, rows));
        }
        return result;
    }

    private static List<String> gossipTargets(State state, long random) {
        List<String> addresses = new ArrayList<>(peerAddresses(state));
        List<String> targets = new ArrayList<>();
        long remaining = random & Long.MAX_VALUE;
        while (!addresses.isEmpty() && targets.size() < GOSSIP_FANOUT) {
            int index = (int) (remaining % addresses.size());
            remaining /= addresses.size();
            targets.add(addresses.remove(index));
        }
        return targets;
    }

    private static List<String> peerAddresses(State state) {
        List<String> addresses = new ArrayList<>(state.membership().addresses());
        for (Member member : state.membership().members().values()) {
            String address = member.row().peerAddress();
            if (isAlive(state, member) && !addresses.contains(address)) {
                addresses.add(address);
            }
        }
        return addresses;
    }

    private static Transition probeIfDue(State state) {
        MembershipState membership = state.membership();
        boolean storeSilent =
                state.nowMillis() - membership.storeContactMillis() >= PROBE_AFTER_MILLIS;
        boolean due =
                state.nowMillis() - membership.probedAtMillis()
                        >= state.timing().gossipIntervalMillis();
        if (!storeSilent || !due) {
            return Transition.of(state);
        }
        Transition result =
                Transition.of(state.withMembership(membership.probed(state.nowMillis())));
        for (Member member : membership.members().values()) {
            if (isAlive(state, member)) {
                result =
                        result.with(
                                new GossipEffect.SendProbe(
                                        member.row().peerAddress(), state.nowMillis()));
            }
        }
        return result;
    }

    private static Transition verifyByMajority(State state) {
        boolean majority =
                state.configuration().map(c -> Freshness.hasMajority(state, c)).orElse(false);
        return Transition.of(
                majority && !state.membership().verified()
                        ? state.withMembership(state.membership().asVerified())
                        : state);
    }
}
