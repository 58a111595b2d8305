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
 * @param own this entry's row as last published
 * @param loadsAtMillis when the team loads in {@code own} were last brought up to date
 * @param known what each peer has, by peer address and then by member name
 * @param dead names of members that were found dead
 */
public record GossipState(
        long heartbeat,
        long sentAtMillis,
        Optional<MemberRow> own,
        long loadsAtMillis,
        PSortedMap<String, PSortedMap<String, Known>> known,
        PSortedSet<String> dead) {
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
    public record Known(EntryId id, long heartbeat, long revision) {
        private static final Known NOTHING = new Known(EntryId.of("-", 0), -1, -1);

        Known and(Known other) {
            if (id.incarnation() != other.id.incarnation()) {
                return id.incarnation() > other.id.incarnation() ? this : other;
            }
            return new Known(
                    other.id,
                    Math.max(heartbeat, other.heartbeat),
                    Math.max(revision, other.revision));
        }
    }

    /** Returns what the peer at {@code address} has of the member {@code name}. */
    Known known(String address, String name) {
        PSortedMap<String, Known> rows = known.get(address);
        Known row = rows == null ? null : rows.get(name);
        return row == null ? Known.NOTHING : row;
    }

    /** Returns this state with more that the peer at {@code address} has. */
    GossipState withKnown(String address, Known has) {
        PSortedMap<String, Known> rows = known.get(address);
        PSortedMap<String, Known> base = rows == null ? TreePMap.empty() : rows;
        Known merged = known(address, has.id().name()).and(has);
        return new GossipState(
                heartbeat,
                sentAtMillis,
                own,
                loadsAtMillis,
                known.plus(address, base.plus(has.id().name(), merged)),
                dead);
    }

    /** Returns this state without what the peer at {@code address} has. */
    GossipState withoutPeer(String address) {
        return new GossipState(
                heartbeat, sentAtMillis, own, loadsAtMillis, known.minus(address), dead);
    }

    /** Returns this state at the start of a round. */
    GossipState round(long nowMillis) {
        return new GossipState(heartbeat + 1, nowMillis, own, loadsAtMillis, known, dead);
    }

    /** Returns this state with a row that is about to be sent. */
    GossipState publish(MemberRow row, long loadsAt) {
        return new GossipState(heartbeat, sentAtMillis, Optional.of(row), loadsAt, known, dead);
    }

    /** Returns this state with other dead members. */
    GossipState withDead(PSortedSet<String> names) {
        return new GossipState(heartbeat, sentAtMillis, own, loadsAtMillis, known, names);
    }
}
