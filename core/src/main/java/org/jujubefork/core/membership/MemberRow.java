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
 * @param heartbeat grows with each row that the entry sends
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
        long configurationVersion,
        boolean storeReachable,
        boolean leaving,
        PSortedMap<ShardId, ShardSummary> shards) {
    /**
     * Returns whether this row is newer than {@code other}, a row of an entry with the same name.
     */
    public boolean isNewerThan(MemberRow other) {
        if (id.incarnation() != other.id.incarnation()) {
            return id.incarnation() > other.id.incarnation();
        }
        return heartbeat > other.heartbeat;
    }

    /** Returns the summary of {@code shard}, if the entry owns it. */
    public Optional<ShardSummary> shard(ShardId shard) {
        return Optional.ofNullable(shards.get(shard));
    }
}
