package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;

/**
 * The figures behind a wait for the upper limit of a team.
 *
 * @param limit the upper limit of the team
 * @param fleetUsage what the team has running in all shards
 * @param shard the shard in which the work waits
 * @param shardBudget what the team may have running in the shard now
 * @param shardUsage what the team has running in the shard
 * @param waitingSinceMillis since when the work waits, in milliseconds of the answering entry's
 *     clock; empty if another entry owns the shard
 */
public record LimitUsage(
        Resources limit,
        Resources fleetUsage,
        ShardId shard,
        Resources shardBudget,
        Resources shardUsage,
        Optional<Long> waitingSinceMillis) {}
