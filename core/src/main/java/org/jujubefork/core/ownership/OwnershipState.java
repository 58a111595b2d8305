package org.jujubefork.core.ownership;

import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What an entry knows about the owners of shards.
 *
 * @param shards knowledge by shard
 * @param listedEntries peer addresses of entries that settings or the store list as running
 * @param unreachableOwnerAtMillis when an entry that is not heard may last have owned a shard
 */
public record OwnershipState(
        PSortedMap<ShardId, ShardOwnership> shards,
        PSortedSet<String> listedEntries,
        long unreachableOwnerAtMillis) {
    /** Nothing is known. */
    public static final OwnershipState EMPTY =
            new OwnershipState(TreePMap.empty(), TreePSet.empty(), Member.NEVER);

    /** Returns what is known about {@code shard}. */
    public ShardOwnership shard(ShardId shard) {
        ShardOwnership ownership = shards.get(shard);
        return ownership == null ? ShardOwnership.UNKNOWN : ownership;
    }

    /** Returns this state with other knowledge about {@code shard}. */
    public OwnershipState withShard(ShardId shard, ShardOwnership ownership) {
        return new OwnershipState(
                shards.plus(shard, ownership), listedEntries, unreachableOwnerAtMillis);
    }

    /** Returns this state with another list of running entries. */
    public OwnershipState withListedEntries(PSortedSet<String> newListedEntries) {
        return new OwnershipState(shards, newListedEntries, unreachableOwnerAtMillis);
    }

    /** Returns this state after a moment at which an unheard entry may have owned a shard. */
    OwnershipState withUnreachableOwnerAt(long nowMillis) {
        return new OwnershipState(shards, listedEntries, nowMillis);
    }
}
