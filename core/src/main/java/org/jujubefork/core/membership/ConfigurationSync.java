package org.jujubefork.core.membership;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.MembershipEvent;

/** Applies loaded configurations and checks whether other entries have a newer configuration. */
final class ConfigurationSync {
    /** Minimum time between two attempts to fetch a newer configuration from another entry. */
    static final long FETCH_INTERVAL_MILLIS = 500;

    /** Minimum age of the last store contact at which other entries are probed. */
    static final long PROBE_AFTER_MILLIS = 1_500;

    /** Minimum time between two rounds of probes. */
    static final long PROBE_INTERVAL_MILLIS = 1_000;

    private ConfigurationSync() {}

    /** Puts the loaded configuration into force if it is newer than the configuration in force. */
    static Transition load(State state, ConfigurationLoaded event) {
        Configuration loaded = event.configuration();
        if (versionOf(state) >= loaded.version()) {
            return Transition.of(state);
        }
        State updated =
                state.configuration()
                        .map(Configuration::expectedEntries)
                        .map(
                                n ->
                                        state.withMembership(
                                                updateChecks(
                                                        state,
                                                        c -> c.withPreviousExpectedEntries(n))))
                        .orElse(state);
        String source = event.peer().map(p -> "from " + p).orElse("from the store");
        return Transition.of(updated.withConfiguration(loaded))
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

    /**
     * Answers a probe with the version in force. An entry whose configuration is not verified yet
     * does not answer, because its version may be outdated.
     */
    static Transition replyToProbe(State state, MembershipEvent.ProbeReceived probe) {
        if (state.configuration().isEmpty() || !state.membership().verified()) {
            return Transition.of(state);
        }
        return Transition.of(state)
                .with(
                        new GossipEffect.SendProbeReply(
                                probe.peerAddress(), probe.probeId(), versionOf(state)));
    }

    /**
     * Records the answer to a probe. An answer counts only if this incarnation sent the probe in
     * one of its latest rounds. The send time of any other probe comes from the clock of another
     * incarnation or lies before a pause.
     */
    static Transition recordProbeReply(State state, MembershipEvent.ProbeReplied reply) {
        Optional<Member> member = state.membership().member(reply.from());
        if (member.isEmpty()
                || !state.membership().checks().probeRounds().contains(reply.probeId())) {
            return Transition.of(state);
        }
        Member probed = member.get().withProbeReply(reply.probeId(), reply.configurationVersion());
        State recorded = state.withMembership(state.membership().withMember(probed));
        return fetchIfNewer(recorded, probed.row(), reply.configurationVersion());
    }

    /**
     * Fetches the configuration of {@code row}'s entry if {@code version} is newer than the version
     * in force on this entry.
     */
    static Transition fetchIfNewer(State state, MemberRow row, long version) {
        long sinceFetchMillis = state.nowMillis() - state.membership().fetchRequestedAtMillis();
        if (version <= versionOf(state) || sinceFetchMillis < FETCH_INTERVAL_MILLIS) {
            return Transition.of(state);
        }
        return Transition.of(
                        state.withMembership(
                                updateChecks(state, c -> c.withFetchRequest(state.nowMillis()))))
                .with(new GossipEffect.FetchConfiguration(row.id(), row.peerAddress()));
    }

    /**
     * Fetches the configuration from a live member that has a newer version. Called in each tick,
     * because an earlier attempt can be lost.
     */
    static Transition fetchFromNewerMember(State state) {
        for (Member member : state.membership().members().values()) {
            if (member.row().configurationVersion() > versionOf(state)
                    && Membership.isAlive(state, member)) {
                return fetchIfNewer(state, member.row(), member.row().configurationVersion());
            }
        }
        return Transition.of(state);
    }

    private static MembershipState updateChecks(
            State state, UnaryOperator<ConfigurationChecks> change) {
        MembershipState membership = state.membership();
        return membership.withChecks(change.apply(membership.checks()));
    }

    /** Sends a round of probes if the last store contact is too old. */
    static Transition probeIfDue(State state) {
        MembershipState membership = state.membership();
        long nowMillis = state.nowMillis();
        boolean isStoreContactStale =
                nowMillis - membership.storeContactMillis() >= PROBE_AFTER_MILLIS;
        if (!isStoreContactStale
                || nowMillis - membership.lastProbeRoundMillis() < PROBE_INTERVAL_MILLIS) {
            return Transition.of(state);
        }
        Transition result =
                Transition.of(
                        state.withMembership(
                                updateChecks(state, c -> c.withProbeRound(nowMillis))));
        for (Member member : membership.members().values()) {
            if (Membership.isAlive(state, member)) {
                result =
                        result.with(
                                new GossipEffect.SendProbe(member.row().peerAddress(), nowMillis));
            }
        }
        return result;
    }

    /** Marks the configuration as verified once a majority has no newer configuration. */
    static Transition verifyByMajority(State state) {
        boolean isConfirmed =
                state.configuration()
                        .map(c -> ConfigurationFreshness.isConfirmedByMajority(state, c))
                        .orElse(false);
        return Transition.of(
                isConfirmed && !state.membership().verified()
                        ? state.withMembership(state.membership().asVerified())
                        : state);
    }

    private static long versionOf(State state) {
        return state.configuration().map(Configuration::version).orElse(0L);
    }
}
