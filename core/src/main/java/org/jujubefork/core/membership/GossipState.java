package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The gossip state of an entry: what it has sent, and which rows its peers already have.
 *
 * @param heartbeat the number of gossip rounds that this entry has sent
 * @param sentAtMillis when the last round was sent; {@link Member#NEVER} if none was
 * @param ownRow this entry's row as last published
 * @param loadsUpdatedAtMillis when the team loads in {@code ownRow} were last updated
 * @param peerVersions the newest versions that each peer is assumed to have, by peer address and
 *     then by member name; a message sent to the peer counts although it can be lost
 * @param deadMembers names of the members that are considered dead
 */
public record GossipState(
        long heartbeat,
        long sentAtMillis,
        Optional<MemberRow> ownRow,
        long loadsUpdatedAtMillis,
        PSortedMap<String, PSortedMap<String, MemberVersion>> peerVersions,
        PSortedSet<String> deadMembers) {
    /** The state of an entry that has sent no gossip. */
    public static final GossipState EMPTY =
            new GossipState(
                    0,
                    Member.NEVER,
                    Optional.empty(),
                    Member.NEVER,
                    TreePMap.empty(),
                    TreePSet.empty());

    /**
     * The version of a member's row and heartbeat that a peer has.
     *
     * @param id the name and incarnation of the member
     * @param heartbeat the newest heartbeat; -1 if the peer has none
     * @param revision the newest revision of the row; -1 if the peer has none
     */
    public record MemberVersion(EntryId id, long heartbeat, long revision) {
        private static final MemberVersion NONE = new MemberVersion(EntryId.of("-", 0), -1, -1);

        MemberVersion merge(MemberVersion other) {
            if (id.incarnation() != other.id.incarnation()) {
                return id.incarnation() > other.id.incarnation() ? this : other;
            }
            return new MemberVersion(
                    other.id,
                    Math.max(heartbeat, other.heartbeat),
                    Math.max(revision, other.revision));
        }
    }

    /** Returns the version of the member {@code name} that the peer at {@code address} has. */
    MemberVersion peerVersion(String address, String name) {
        PSortedMap<String, MemberVersion> versions = peerVersions.get(address);
        MemberVersion version = versions == null ? null : versions.get(name);
        return version == null ? MemberVersion.NONE : version;
    }

    /**
     * Returns this state with the peer at {@code address} recorded as having at least {@code
     * version}.
     */
    GossipState withPeerVersion(String address, MemberVersion version) {
        PSortedMap<String, MemberVersion> versions = peerVersions.get(address);
        PSortedMap<String, MemberVersion> base = versions == null ? TreePMap.empty() : versions;
        MemberVersion merged = peerVersion(address, version.id().name()).merge(version);
        return new GossipState(
                heartbeat,
                sentAtMillis,
                ownRow,
                loadsUpdatedAtMillis,
                peerVersions.plus(address, base.plus(version.id().name(), merged)),
                deadMembers);
    }

    /**
     * Returns this state without the versions that the peer at {@code address} is assumed to have.
     */
    GossipState withoutPeer(String address) {
        return new GossipState(
                heartbeat,
                sentAtMillis,
                ownRow,
                loadsUpdatedAtMillis,
                peerVersions.minus(address),
                deadMembers);
    }

    /** Returns this state with the next round started at {@code nowMillis}. */
    GossipState startRound(long nowMillis) {
        return new GossipState(
                heartbeat + 1, nowMillis, ownRow, loadsUpdatedAtMillis, peerVersions, deadMembers);
    }

    /**
     * Returns this state with {@code row} as this entry's row to be sent and {@code
     * newLoadsUpdatedAtMillis} as the time at which the team loads in the row were last updated.
     */
    GossipState withOwnRow(MemberRow row, long newLoadsUpdatedAtMillis) {
        return new GossipState(
                heartbeat,
                sentAtMillis,
                Optional.of(row),
                newLoadsUpdatedAtMillis,
                peerVersions,
                deadMembers);
    }

    /** Returns this state with {@code names} as the dead members. */
    GossipState withDeadMembers(PSortedSet<String> names) {
        return new GossipState(
                heartbeat, sentAtMillis, ownRow, loadsUpdatedAtMillis, peerVersions, names);
    }
}
