package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;
import org.pcollections.TreePVector;

/**
 * What an entry knows of other entries and of its own contact with the store.
 *
 * @param startedAtMillis when this entry started
 * @param members other entries by name
 * @param addresses peer addresses from settings and store
 * @param gossip what was sent, and what other entries have
 * @param probeRounds send times of the last rounds of probes, the newest last
 * @param storeContactMillis send time of the newest read that the store answered
 * @param verified whether this run has once had a store contact or a majority of answers from
 *     others
 * @param fetchedAtMillis when the configuration was last asked for
 * @param expectedBefore {@code expectedEntries} of the configuration that was in force before; 0 if
 *     there was none
 */
public record MembershipState(
        long startedAtMillis,
        PSortedMap<String, Member> members,
        PSortedSet<String> addresses,
        GossipState gossip,
        PVector<Long> probeRounds,
        long storeContactMillis,
        boolean verified,
        long fetchedAtMillis,
        int expectedBefore) {
    /** Rounds of probes of which answers are accepted; older ones have lost their validity. */
    private static final int PROBE_ROUNDS = 4;

    /** Returns the state of an entry that has just started. */
    public static MembershipState initial(long nowMillis) {
        return new MembershipState(
                nowMillis,
                TreePMap.empty(),
                TreePSet.empty(),
                GossipState.EMPTY,
                TreePVector.empty(),
                Member.NEVER,
                false,
                Member.NEVER,
                0);
    }

    /** Returns the member that runs as {@code id}, if that run is known. */
    public Optional<Member> member(EntryId id) {
        return Optional.ofNullable(members.get(id.name())).filter(m -> m.row().id().equals(id));
    }

    /** Returns when the last round of probes was sent. */
    public long probedAtMillis() {
        return probeRounds.isEmpty() ? Member.NEVER : probeRounds.get(probeRounds.size() - 1);
    }

    /** Returns this state with {@code member} added or replaced. */
    public MembershipState withMember(Member member) {
        return withMembers(members.plus(member.row().id().name(), member));
    }

    /** Returns this state with other members. */
    public MembershipState withMembers(PSortedMap<String, Member> value) {
        return new MembershipState(
                startedAtMillis,
                value,
                addresses,
                gossip,
                probeRounds,
                storeContactMillis,
                verified,
                fetchedAtMillis,
                expectedBefore);
    }

    /** Returns this state with more peer addresses. */
    public MembershipState withAddresses(PSortedSet<String> value) {
        return new MembershipState(
                startedAtMillis,
                members,
                value,
                gossip,
                probeRounds,
                storeContactMillis,
                verified,
                fetchedAtMillis,
                expectedBefore);
    }

    /** Returns this state with another state of gossip. */
    public MembershipState withGossip(GossipState value) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                value,
                probeRounds,
                storeContactMillis,
                verified,
                fetchedAtMillis,
                expectedBefore);
    }

    /** Returns this state after a round of probes. */
    public MembershipState probed(long nowMillis) {
        PVector<Long> rounds = probeRounds.plus(nowMillis);
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                gossip,
                rounds.size() > PROBE_ROUNDS ? rounds.minus(0) : rounds,
                storeContactMillis,
                verified,
                fetchedAtMillis,
                expectedBefore);
    }

    /** Returns this state after the store answered a read that was sent at {@code sentAtMillis}. */
    public MembershipState storeContacted(long sentAtMillis) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                gossip,
                probeRounds,
                Math.max(storeContactMillis, sentAtMillis),
                verified,
                fetchedAtMillis,
                expectedBefore);
    }

    /** Returns this state with the configuration known to be the one that a majority has. */
    public MembershipState asVerified() {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                gossip,
                probeRounds,
                storeContactMillis,
                true,
                fetchedAtMillis,
                expectedBefore);
    }

    /** Returns this state after the configuration was asked for. */
    public MembershipState fetched(long nowMillis) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                gossip,
                probeRounds,
                storeContactMillis,
                verified,
                nowMillis,
                expectedBefore);
    }

    /** Returns this state after a configuration that expected {@code entries} was replaced. */
    public MembershipState replacedConfiguration(int entries) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                gossip,
                probeRounds,
                storeContactMillis,
                verified,
                fetchedAtMillis,
                entries);
    }

    /**
     * Returns this state after a pause of {@code gapMillis}: the silence of other entries is
     * counted without the pause, and earlier answers of them and of the store prove nothing.
     */
    public MembershipState resumed(long gapMillis) {
        PSortedMap<String, Member> shifted = members;
        for (var entry : members.entrySet()) {
            shifted = shifted.plus(entry.getKey(), entry.getValue().resumed(gapMillis));
        }
        return new MembershipState(
                startedAtMillis,
                shifted,
                addresses,
                gossip,
                TreePVector.empty(),
                Member.NEVER,
                verified,
                fetchedAtMillis,
                expectedBefore);
    }
}
