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
 * @param views knowledge by shard
 * @param listedEntries peer addresses of entries that settings or the store list as running
 * @param unseenAtMillis when an entry that is not heard may last have owned a shard
 */
public record OwnershipState(
        PSortedMap<ShardId, ShardView> views,
        PSortedSet<String> listedEntries,
        long unseenAtMillis) {
    /** Nothing is known. */
    public static final OwnershipState EMPTY =
            new OwnershipState(TreePMap.empty(), TreePSet.empty(), Member.NEVER);

    /** Returns what is known about {@code shard}. */
    public ShardView view(ShardId shard) {
        ShardView view = views.get(shard);
        return view == null ? ShardView.UNKNOWN : view;
    }

    /** Returns this state with other knowledge about {@code shard}. */
    public OwnershipState with(ShardId shard, ShardView view) {
        return new OwnershipState(views.plus(shard, view), listedEntries, unseenAtMillis);
    }

    /** Returns this state with another list of running entries. */
    public OwnershipState listing(PSortedSet<String> entries) {
        return new OwnershipState(views, entries, unseenAtMillis);
    }

    /** Returns this state after a moment at which an unheard entry may have owned a shard. */
    OwnershipState unseenAt(long nowMillis) {
        return new OwnershipState(views, listedEntries, nowMillis);
    }
}
