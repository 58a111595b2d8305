package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What an entry has sent in gossip and what it knows that other entries have.
 *
 * @param heartbeat counts the rounds of gossip
 * @param sentAtMillis when the last round was sent
 * @param ownRow this entry's row as last published
 * @param loadsUpdatedAtMillis when the team loads in {@code ownRow} were last brought up to date
 * @param peerVersions what each peer has, by peer address and then by member name
 * @param deadMembers names of members that were found dead
 */
public record GossipState(
        long heartbeat,
        long sentAtMillis,
        Optional<MemberRow> ownRow,
        long loadsUpdatedAtMillis,
        PSortedMap<String, PSortedMap<String, MemberVersion>> peerVersions,
        PSortedSet<String> deadMembers) {
    /** Nothing was sent. */
    public static final GossipState EMPTY =
            new GossipState(
                    0,
                    Member.NEVER,
                    Optional.empty(),
                    Member.NEVER,
                    TreePMap.empty(),
                    TreePSet.empty());

    /**
     * What a peer has of a member.
     *
     * @param id the member's run
     * @param heartbeat the newest heartbeat
     * @param revision the newest revision of the row
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

    /** Returns what the peer at {@code address} has of the member {@code name}. */
    MemberVersion peerVersion(String address, String name) {
        PSortedMap<String, MemberVersion> versions = peerVersions.get(address);
        MemberVersion version = versions == null ? null : versions.get(name);
        return version == null ? MemberVersion.NONE : version;
    }

    /** Returns this state with more that the peer at {@code address} has. */
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

    /** Returns this state without what the peer at {@code address} has. */
    GossipState withoutPeer(String address) {
        return new GossipState(
                heartbeat,
                sentAtMillis,
                ownRow,
                loadsUpdatedAtMillis,
                peerVersions.minus(address),
                deadMembers);
    }

    /** Returns this state at the start of a round. */
    GossipState startRound(long nowMillis) {
        return new GossipState(
                heartbeat + 1, nowMillis, ownRow, loadsUpdatedAtMillis, peerVersions, deadMembers);
    }

    /** Returns this state with a row that is about to be sent. */
    GossipState withOwnRow(MemberRow row, long newLoadsUpdatedAtMillis) {
        return new GossipState(
                heartbeat,
                sentAtMillis,
                Optional.of(row),
                newLoadsUpdatedAtMillis,
                peerVersions,
                deadMembers);
    }

    /** Returns this state with other dead members. */
    GossipState withDeadMembers(PSortedSet<String> names) {
        return new GossipState(
                heartbeat, sentAtMillis, ownRow, loadsUpdatedAtMillis, peerVersions, names);
    }
}
