package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The state of the membership protocol of this entry.
 *
 * @param startedAtMillis when this entry started
 * @param members other entries by name
 * @param peerAddresses addresses of other entries from the settings and the store
 * @param gossip which rows this entry has sent, and which rows other entries already have
 * @param checks the checks that this entry made to verify that its configuration is up to date
 */
public record MembershipState(
        long startedAtMillis,
        PSortedMap<String, Member> members,
        PSortedSet<String> peerAddresses,
        GossipState gossip,
        ConfigurationChecks checks) {
    /** Returns the state of an entry that was started at {@code nowMillis}. */
    public static MembershipState initial(long nowMillis) {
        return new MembershipState(
                nowMillis,
                TreePMap.empty(),
                TreePSet.empty(),
                GossipState.EMPTY,
                ConfigurationChecks.NONE);
    }

    /** Returns the member with the name and incarnation of {@code id}, if it is known. */
    public Optional<Member> member(EntryId id) {
        return Optional.ofNullable(members.get(id.name())).filter(m -> m.row().id().equals(id));
    }

    /** Returns when the last round of probes was sent; {@link Member#NEVER} if none was. */
    public long lastProbeRoundMillis() {
        return checks.lastProbeRoundMillis();
    }

    /** Returns this state with {@code member} added or replaced. */
    public MembershipState withMember(Member member) {
        return withMembers(members.plus(member.row().id().name(), member));
    }

    /**
     * Returns the send time of the most recent read that the store answered; {@link Member#NEVER}
     * if none.
     */
    public long storeContactMillis() {
        return checks.storeContactMillis();
    }

    /**
     * Returns whether the store or a majority has confirmed the configuration at least once since
     * this entry started.
     */
    public boolean verified() {
        return checks.verified();
    }

    /** Returns when a configuration was last requested from another entry. */
    public long fetchRequestedAtMillis() {
        return checks.fetchRequestedAtMillis();
    }

    /** Returns {@code expectedEntries} of the previous configuration; 0 if there was none. */
    public int previousExpectedEntries() {
        return checks.previousExpectedEntries();
    }

    /** Returns this state with {@code value} as the members by name. */
    public MembershipState withMembers(PSortedMap<String, Member> value) {
        return new MembershipState(startedAtMillis, value, peerAddresses, gossip, checks);
    }

    /** Returns this state with {@code value} as the addresses of other entries. */
    public MembershipState withPeerAddresses(PSortedSet<String> value) {
        return new MembershipState(startedAtMillis, members, value, gossip, checks);
    }

    /** Returns this state with {@code value} as the gossip state. */
    public MembershipState withGossip(GossipState value) {
        return new MembershipState(startedAtMillis, members, peerAddresses, value, checks);
    }

    /** Returns this state with {@code value} as the checks of the configuration. */
    public MembershipState withChecks(ConfigurationChecks value) {
        return new MembershipState(startedAtMillis, members, peerAddresses, gossip, value);
    }

    /** Returns this state after the store answered a read that was sent at {@code sentAtMillis}. */
    public MembershipState withStoreContact(long sentAtMillis) {
        return withChecks(checks.withStoreContact(sentAtMillis));
    }

    /** Returns this state with the configuration marked as verified. */
    public MembershipState asVerified() {
        return withChecks(checks.asVerified());
    }

    /**
     * Returns this state after a pause of {@code pauseMillis}: the pause does not count as time
     * without heartbeats, and earlier answers of other entries and of the store are dropped because
     * they do not prove that the configuration is still up to date.
     */
    public MembershipState afterPause(long pauseMillis) {
        PSortedMap<String, Member> shifted = members;
        for (var nameAndMember : members.entrySet()) {
            shifted =
                    shifted.plus(
                            nameAndMember.getKey(),
                            nameAndMember.getValue().afterPause(pauseMillis));
        }
        return withMembers(shifted).withChecks(checks.afterPause());
    }
}
