package org.jujubefork.core.ownership;

import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The workers on the VM list.
 *
 * @param workers workers by id
 * @param byShard workers by shard
 */
public record FleetState(
        PSortedMap<WorkerId, WorkerListing> workers,
        PSortedMap<ShardId, PSortedMap<WorkerId, WorkerListing>> byShard) {
    /** No worker is known. */
    public static final FleetState EMPTY = new FleetState(TreePMap.empty(), TreePMap.empty());

    /** Returns the fleet of {@code listings}, divided into shards. */
    public static FleetState of(Iterable<WorkerListing> listings, int shardsPerZone) {
        PSortedMap<WorkerId, WorkerListing> workers = TreePMap.empty();
        PSortedMap<ShardId, PSortedMap<WorkerId, WorkerListing>> byShard = TreePMap.empty();
        for (WorkerListing listing : listings) {
            workers = workers.plus(listing.id(), listing);
            ShardId shard = Sharding.shardOf(listing.location(), shardsPerZone);
            PSortedMap<WorkerId, WorkerListing> members = byShard.get(shard);
            PSortedMap<WorkerId, WorkerListing> base = members == null ? TreePMap.empty() : members;
            byShard = byShard.plus(shard, base.plus(listing.id(), listing));
        }
        return new FleetState(workers, byShard);
    }
}
