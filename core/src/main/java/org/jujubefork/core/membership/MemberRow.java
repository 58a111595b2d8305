package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;

/**
 * The state that an entry publishes about itself in gossip. Other entries relay it unchanged.
 *
 * @param id the name and incarnation of the entry
 * @param location the region and availability zone of the entry
 * @param httpAddress host and port for API requests
 * @param peerAddress host and port for other entries
 * @param heartbeat the newest value of the entry's heartbeat counter
 * @param revision the heartbeat counter when the other components of the row were last published;
 *     identifies the content of the row
 * @param configurationVersion the version of the configuration in force at the entry; 0 if none
 * @param storeReachable whether the entry had a recent store contact
 * @param leaving whether the entry is draining before it stops
 * @param shards summaries of the shards that the entry owns
 */
public record MemberRow(
        EntryId id,
        Location location,
        String httpAddress,
        String peerAddress,
        long heartbeat,
        long revision,
        long configurationVersion,
        boolean storeReachable,
        boolean leaving,
        PSortedMap<ShardId, ShardSummary> shards) {
    /** Creates a row whose revision is its heartbeat. */
    public MemberRow(
            EntryId id,
            Location location,
            String httpAddress,
            String peerAddress,
            long heartbeat,
            long configurationVersion,
            boolean storeReachable,
            boolean leaving,
            PSortedMap<ShardId, ShardSummary> shards) {
        this(
                id,
                location,
                httpAddress,
                peerAddress,
                heartbeat,
                heartbeat,
                configurationVersion,
                storeReachable,
                leaving,
                shards);
    }

    /**
     * Returns whether this row is newer than {@code other}, which must belong to an entry with the
     * same name.
     */
    public boolean isNewerThan(MemberRow other) {
        if (id.incarnation() != other.id.incarnation()) {
            return id.incarnation() > other.id.incarnation();
        }
        return revision > other.revision || heartbeat > other.heartbeat;
    }

    /**
     * Returns the newer of this row and {@code other}. If both belong to the same incarnation, the
     * result has the higher of both heartbeats.
     */
    MemberRow merge(MemberRow other) {
        if (id.incarnation() != other.id.incarnation()) {
            return id.incarnation() > other.id.incarnation() ? this : other;
        }
        MemberRow content = other.revision > revision ? other : this;
        return content.withHeartbeat(Math.max(heartbeat, other.heartbeat));
    }

    /** Returns this row with {@code newHeartbeat} and the same revision. */
    MemberRow withHeartbeat(long newHeartbeat) {
        return withHeartbeatAndRevision(newHeartbeat, revision);
    }

    /** Returns this row with {@code newHeartbeat} and {@code newRevision}. */
    MemberRow withHeartbeatAndRevision(long newHeartbeat, long newRevision) {
        return new MemberRow(
                id,
                location,
                httpAddress,
                peerAddress,
                newHeartbeat,
                newRevision,
                configurationVersion,
                storeReachable,
                leaving,
                shards);
    }

    /** Returns this row with {@code value} as the summaries of the owned shards. */
    MemberRow withShards(PSortedMap<ShardId, ShardSummary> value) {
        return new MemberRow(
                id,
                location,
                httpAddress,
                peerAddress,
                heartbeat,
                revision,
                configurationVersion,
                storeReachable,
                leaving,
                value);
    }

    /** Returns the summary of {@code shard}; empty if the entry does not own it. */
    public Optional<ShardSummary> shard(ShardId shard) {
        return Optional.ofNullable(shards.get(shard));
    }
}
