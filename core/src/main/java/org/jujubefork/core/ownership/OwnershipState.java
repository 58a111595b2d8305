package org.jujubefork.core.ownership;

import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The local view of the ownership of all shards.
 *
 * @param shards ownership by shard
 * @param listedEntries peer addresses of the entries that the settings or the store list as running
 * @param unreachableOwnerAtMillis the last time at which an entry that this entry cannot reach may
 *     have owned a shard
 */
public record OwnershipState(
        PSortedMap<ShardId, ShardOwnership> shards,
        PSortedSet<String> listedEntries,
        long unreachableOwnerAtMillis) {
    /** The state of an entry that knows no owners. */
    public static final OwnershipState EMPTY =
            new OwnershipState(TreePMap.empty(), TreePSet.empty(), Member.NEVER);

    /**
     * Returns the ownership of {@code shard}; {@link ShardOwnership#UNKNOWN} if nothing is known
     * about the shard.
     */
    public ShardOwnership shard(ShardId shard) {
        ShardOwnership ownership = shards.get(shard);
        return ownership == null ? ShardOwnership.UNKNOWN : ownership;
    }

    /** Returns this state with {@code ownership} as the ownership of {@code shard}. */
    public OwnershipState withShard(ShardId shard, ShardOwnership ownership) {
        return new OwnershipState(
                shards.plus(shard, ownership), listedEntries, unreachableOwnerAtMillis);
    }

    /** Returns this state with {@code newListedEntries} as the listed entries. */
    public OwnershipState withListedEntries(PSortedSet<String> newListedEntries) {
        return new OwnershipState(shards, newListedEntries, unreachableOwnerAtMillis);
    }

    /**
     * Returns this state with {@code nowMillis} as the last time at which an unreachable entry may
     * have owned a shard.
     */
    OwnershipState withUnreachableOwnerAt(long nowMillis) {
        return new OwnershipState(shards, listedEntries, nowMillis);
    }
}
