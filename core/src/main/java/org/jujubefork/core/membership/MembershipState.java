package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What an entry knows of other entries and of its own contact with the store.
 *
 * @param startedAtMillis when this entry started
 * @param members other entries by name
 * @param peerAddresses peer addresses from settings and store
 * @param gossip what was sent, and what other entries have
 * @param checks how the configuration was found to be up to date
 */
public record MembershipState(
        long startedAtMillis,
        PSortedMap<String, Member> members,
        PSortedSet<String> peerAddresses,
        GossipState gossip,
        ConfigurationChecks checks) {
    /** Returns the state of an entry that has just started. */
    public static MembershipState initial(long nowMillis) {
        return new MembershipState(
                nowMillis,
                TreePMap.empty(),
                TreePSet.empty(),
                GossipState.EMPTY,
                ConfigurationChecks.NONE);
    }

    /** Returns the member that runs as {@code id}, if that run is known. */
    public Optional<Member> member(EntryId id) {
        return Optional.ofNullable(members.get(id.name())).filter(m -> m.row().id().equals(id));
    }

    /** Returns when the last round of probes was sent. */
    public long lastProbeRoundMillis() {
        return checks.lastProbeRoundMillis();
    }

    /** Returns this state with {@code member} added or replaced. */
    public MembershipState withMember(Member member) {
        return withMembers(members.plus(member.row().id().name(), member));
    }

    /** Returns the send time of the newest read that the store answered. */
    public long storeContactMillis() {
        return checks.storeContactMillis();
    }

    /** Returns whether this run has once had a store contact or a majority of answers. */
    public boolean verified() {
        return checks.verified();
    }

    /** Returns when the configuration was last asked for. */
    public long fetchRequestedAtMillis() {
        return checks.fetchRequestedAtMillis();
    }

    /** Returns {@code expectedEntries} of the configuration before; 0 if there was none. */
    public int previousExpectedEntries() {
        return checks.previousExpectedEntries();
    }

    /** Returns this state with other members. */
    public MembershipState withMembers(PSortedMap<String, Member> value) {
        return new MembershipState(startedAtMillis, value, peerAddresses, gossip, checks);
    }

    /** Returns this state with more peer addresses. */
    public MembershipState withPeerAddresses(PSortedSet<String> value) {
        return new MembershipState(startedAtMillis, members, value, gossip, checks);
    }

    /** Returns this state with another state of gossip. */
    public MembershipState withGossip(GossipState value) {
        return new MembershipState(startedAtMillis, members, peerAddresses, value, checks);
    }

    /** Returns this state with other checks of the configuration. */
    public MembershipState withChecks(ConfigurationChecks value) {
        return new MembershipState(startedAtMillis, members, peerAddresses, gossip, value);
    }

    /** Returns this state after the store answered a read that was sent at {@code sentAtMillis}. */
    public MembershipState withStoreContact(long sentAtMillis) {
        return withChecks(checks.withStoreContact(sentAtMillis));
    }

    /** Returns this state with the configuration known to be the one that a majority has. */
    public MembershipState asVerified() {
        return withChecks(checks.asVerified());
    }

    /**
     * Returns this state after a pause of {@code pauseMillis}: the silence of other entries is
     * counted without the pause, and earlier answers of them and of the store prove nothing.
     */
    public MembershipState afterPause(long pauseMillis) {
        PSortedMap<String, Member> shifted = members;
        for (var entry : members.entrySet()) {
            shifted = shifted.plus(entry.getKey(), entry.getValue().afterPause(pauseMillis));
        }
        return withMembers(shifted).withChecks(checks.afterPause());
    }
}
