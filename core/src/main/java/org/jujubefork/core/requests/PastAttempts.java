package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * Attempts to run a request that have ended.
 *
 * @param tried shards that were tried without success
 * @param declined shards whose owner reported the request back because the team's budget was used
 *     up
 * @param mayHaveRun whether an attempt may have run
 */
public record PastAttempts(
        PSortedSet<ShardId> tried, PSortedSet<ShardId> declined, boolean mayHaveRun) {
    static final PastAttempts NONE = new PastAttempts(TreePSet.empty(), TreePSet.empty(), false);

    /** Returns these attempts and one in {@code shard}. */
    PastAttempts withAttempt(Optional<ShardId> shard, Outcome outcome) {
        return new PastAttempts(
                with(tried, shard), declined, mayHaveRun || outcome == Outcome.UNKNOWN);
    }

    /** Returns these attempts after the owner of {@code shard} reported the request back. */
    PastAttempts withDecline(Optional<ShardId> shard) {
        return new PastAttempts(tried, with(declined, shard), mayHaveRun);
    }

    /** Returns these attempts with every shard open to another one. */
    PastAttempts withoutTriedShards() {
        return new PastAttempts(TreePSet.empty(), declined, mayHaveRun);
    }

    private static PSortedSet<ShardId> with(PSortedSet<ShardId> shards, Optional<ShardId> shard) {
        return shard.map(shards::plus).orElse(shards);
    }
}
