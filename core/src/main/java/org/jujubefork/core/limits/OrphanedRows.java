package org.jujubefork.core.limits;

import java.util.Set;
import java.util.TreeSet;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/** Finds ledger rows of shards that have neither workers nor an owner. */
final class OrphanedRows {
    /**
     * How long a shard must have no workers and no owner before its rows are removed. Covers the
     * lease of its last worker (33 s with margin) and the delay of the VM list.
     */
    static final long REMOVE_AFTER_MILLIS = 60_000;

    private OrphanedRows() {}

    /**
     * Returns the orphaned shards in the ledger, each with the time since when it has been
     * orphaned.
     */
    static PSortedMap<ShardId, Long> update(State state) {
        PSortedMap<ShardId, Long> previous = state.limits().orphanedSinceMillis();
        PSortedMap<ShardId, Long> orphaned = TreePMap.empty();
        for (ShardId shard : shardsInLedger(state)) {
            if (isOrphaned(state, shard)) {
                Long sinceMillis = previous.get(shard);
                orphaned =
                        orphaned.plus(shard, sinceMillis == null ? state.nowMillis() : sinceMillis);
            }
        }
        return orphaned;
    }

    /**
     * Returns the shards whose rows this entry has to remove now. Only the live entry whose name is
     * first in alphabetical order removes rows; the result is empty for all other entries.
     */
    static Set<ShardId> removableShards(State state) {
        Set<ShardId> removable = new TreeSet<>();
        if (!isFirstLiveEntry(state)) {
            return removable;
        }
        for (var shardAndSinceMillis : state.limits().orphanedSinceMillis().entrySet()) {
            if (state.nowMillis() - shardAndSinceMillis.getValue() >= REMOVE_AFTER_MILLIS) {
                removable.add(shardAndSinceMillis.getKey());
            }
        }
        return removable;
    }

    private static boolean isOrphaned(State state, ShardId shard) {
        if (state.fleet().byShard().isEmpty()
                || state.fleet().byShard().containsKey(shard)
                || state.shards().containsKey(shard)) {
            return false;
        }
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member) && member.row().shard(shard).isPresent()) {
                return false;
            }
        }
        return true;
    }

    private static boolean isFirstLiveEntry(State state) {
        String self = state.self().id().name();
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member) && member.row().id().name().compareTo(self) < 0) {
                return false;
            }
        }
        return true;
    }

    private static Set<ShardId> shardsInLedger(State state) {
        Set<ShardId> shards = new TreeSet<>();
        for (var rows : state.limits().ledger().rows().values()) {
            shards.addAll(rows.keySet());
        }
        return shards;
    }
}
