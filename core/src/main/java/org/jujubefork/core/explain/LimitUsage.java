package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;

/**
 * Limit, budget and usage of a team whose work waits because of its upper limit.
 *
 * @param limit the upper limit of the team
 * @param usage total resources of the team's running work in all shards
 * @param shard the shard in which the work waits
 * @param shardBudget the part of the limit that the team may currently use in the shard
 * @param shardUsage resources of the team's running work in the shard
 * @param waitingSinceMillis since when the work waits, in milliseconds of this entry's monotonic
 *     clock; empty if another entry owns the shard
 */
public record LimitUsage(
        Resources limit,
        Resources usage,
        ShardId shard,
        Resources shardBudget,
        Resources shardUsage,
        Optional<Long> waitingSinceMillis) {}
