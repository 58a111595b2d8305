package org.jujubefork.core.ownership;

import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * What an entry knows about the owners of shards.
 *
 * @param views knowledge by shard
 */
public record OwnershipState(PSortedMap<ShardId, ShardView> views) {
    /** Nothing is known. */
    public static final OwnershipState EMPTY = new OwnershipState(TreePMap.empty());

    /** Returns what is known about {@code shard}. */
    public ShardView view(ShardId shard) {
        ShardView view = views.get(shard);
        return view == null ? ShardView.UNKNOWN : view;
    }

    /** Returns this state with other knowledge about {@code shard}. */
    public OwnershipState with(ShardId shard, ShardView view) {
        return new OwnershipState(views.plus(shard, view));
    }
}
