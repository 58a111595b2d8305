package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;

/**
 * What an entry says of itself in gossip. Other entries pass it on unchanged.
 *
 * @param id the entry's run
 * @param location where it stands
 * @param httpAddress host and port for callers
 * @param peerAddress host and port for other entries
 * @param heartbeat the newest heartbeat of the entry
 * @param revision the heartbeat at which the rest of the row last changed
 * @param configurationVersion the version that is in force at the entry
 * @param storeReachable whether the entry had a store contact in the last seconds
 * @param leaving whether the entry is about to stop
 * @param shards the shards that the entry owns
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
    /** Creates a row that changed with its heartbeat. */
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
     * Returns whether this row is newer than {@code other}, a row of an entry with the same name.
     */
    public boolean isNewerThan(MemberRow other) {
        if (id.incarnation() != other.id.incarnation()) {
            return id.incarnation() > other.id.incarnation();
        }
        return revision > other.revision || heartbeat > other.heartbeat;
    }

    /** Returns the newer content of this row and {@code other} with the newer heartbeat. */
    MemberRow merge(MemberRow other) {
        if (id.incarnation() != other.id.incarnation()) {
            return id.incarnation() > other.id.incarnation() ? this : other;
        }
        MemberRow content = other.revision > revision ? other : this;
        return content.withHeartbeat(Math.max(heartbeat, other.heartbeat));
    }

    /** Returns this row with another heartbeat. */
    MemberRow withHeartbeat(long newHeartbeat) {
        return withHeartbeatAndRevision(newHeartbeat, revision);
    }

    /** Returns this row with another heartbeat and revision. */
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

    /** Returns this row with other shards. */
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

    /** Returns the summary of {@code shard}, if the entry owns it. */
    public Optional<ShardSummary> shard(ShardId shard) {
        return Optional.ofNullable(shards.get(shard));
    }
}
