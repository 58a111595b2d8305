package org.jujubefork.core.ownership;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * The workers on the VM list.
 *
 * @param workers workers by id
 * @param byShard workers by shard and then by id; shards without workers are missing
 * @param capacity the total capacity of all workers; stored, because budgets use it in every tick
 * @param listings the VM list from which this state was computed
 * @param shardsPerZone the number of shards into which each zone is divided
 */
public record FleetState(
        PSortedMap<WorkerId, WorkerListing> workers,
        PSortedMap<ShardId, PSortedMap<WorkerId, WorkerListing>> byShard,
        Resources capacity,
        PVector<WorkerListing> listings,
        int shardsPerZone) {
    /** The fleet without workers. */
    public static final FleetState EMPTY =
            new FleetState(
                    TreePMap.empty(), TreePMap.empty(), Resources.ZERO, TreePVector.empty(), 1);

    /**
     * Returns the fleet of {@code listings}. If a worker is listed more than once, its last listing
     * counts.
     */
    public static FleetState of(PVector<WorkerListing> listings, int shardsPerZone) {
        PSortedMap<WorkerId, WorkerListing> workers = TreePMap.empty();
        PSortedMap<ShardId, PSortedMap<WorkerId, WorkerListing>> byShard = TreePMap.empty();
        Resources capacity = Resources.ZERO;
        for (WorkerListing listing : listings) {
            WorkerListing duplicate = workers.get(listing.id());
            capacity =
                    capacity.plus(listing.capacity())
                            .minus(duplicate == null ? Resources.ZERO : duplicate.capacity());
            workers = workers.plus(listing.id(), listing);
            ShardId shard = Sharding.shardOf(listing.location(), shardsPerZone);
            PSortedMap<WorkerId, WorkerListing> listed = byShard.get(shard);
            PSortedMap<WorkerId, WorkerListing> base = listed == null ? TreePMap.empty() : listed;
            byShard = byShard.plus(shard, base.plus(listing.id(), listing));
        }
        return new FleetState(workers, byShard, capacity, listings, shardsPerZone);
    }

    /** Returns the fleet of {@code newListings}; this instance if nothing has changed. */
    public FleetState withListings(PVector<WorkerListing> newListings, int newShardsPerZone) {
        return newShardsPerZone == shardsPerZone && newListings.equals(listings)
                ? this
                : of(newListings, newShardsPerZone);
    }
}
