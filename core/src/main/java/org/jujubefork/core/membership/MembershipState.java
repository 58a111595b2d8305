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
 * @param addresses peer addresses from settings and store
 * @param heartbeat counts the rows that this entry has sent
 * @param gossipedAtMillis when the last round of gossip was sent
 * @param probedAtMillis when the last round of probes was sent
 * @param storeContactMillis send time of the newest read that the store answered
 * @param verified whether this run has once had a store contact or a majority of answers from
 *     others
 * @param fetchedAtMillis when the configuration was last asked for
 */
public record MembershipState(
        long startedAtMillis,
        PSortedMap<String, Member> members,
        PSortedSet<String> addresses,
        long heartbeat,
        long gossipedAtMillis,
        long probedAtMillis,
        long storeContactMillis,
        boolean verified,
        long fetchedAtMillis) {
    /** Returns the state of an entry that has just started. */
    public static MembershipState initial(long nowMillis) {
        return new MembershipState(
                nowMillis,
                TreePMap.empty(),
                TreePSet.empty(),
                0,
                Member.NEVER,
                Member.NEVER,
                Member.NEVER,
                false,
                Member.NEVER);
    }

    /** Returns the member that runs as {@code id}, if that run is known. */
    public Optional<Member> member(EntryId id) {
        return Optional.ofNullable(members.get(id.name())).filter(m -> m.row().id().equals(id));
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
                heartbeat,
                gossipedAtMillis,
                probedAtMillis,
                storeContactMillis,
                verified,
                fetchedAtMillis);
    }

    /** Returns this state with more peer addresses. */
    public MembershipState withAddresses(PSortedSet<String> value) {
        return new MembershipState(
                startedAtMillis,
                members,
                value,
                heartbeat,
                gossipedAtMillis,
                probedAtMillis,
                storeContactMillis,
                verified,
                fetchedAtMillis);
    }

    /** Returns this state after a round of gossip. */
    public MembershipState gossiped(long nowMillis) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                heartbeat + 1,
                nowMillis,
                probedAtMillis,
                storeContactMillis,
                verified,
                fetchedAtMillis);
    }

    /** Returns this state after a round of probes. */
    public MembershipState probed(long nowMillis) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                heartbeat,
                gossipedAtMillis,
                nowMillis,
                storeContactMillis,
                verified,
                fetchedAtMillis);
    }

    /** Returns this state after the store answered a read that was sent at {@code sentAtMillis}. */
    public MembershipState storeContacted(long sentAtMillis) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                heartbeat,
                gossipedAtMillis,
                probedAtMillis,
                Math.max(storeContactMillis, sentAtMillis),
                verified,
                fetchedAtMillis);
    }

    /** Returns this state with the configuration known to be the one that a majority has. */
    public MembershipState asVerified() {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                heartbeat,
                gossipedAtMillis,
                probedAtMillis,
                storeContactMillis,
                true,
                fetchedAtMillis);
    }

    /** Returns this state after the configuration was asked for. */
    public MembershipState fetched(long nowMillis) {
        return new MembershipState(
                startedAtMillis,
                members,
                addresses,
                heartbeat,
                gossipedAtMillis,
                probedAtMillis,
                storeContactMillis,
                verified,
                nowMillis);
    }
}
