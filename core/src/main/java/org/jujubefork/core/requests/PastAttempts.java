package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * What is known of the attempts to run a request that have ended.
 *
 * @param tried the shards of failed attempts
 * @param declined shards whose owner declined the request because the budget of the team was used
 *     up
 * @param mayHaveRun whether the request may have run in one of the attempts
 */
public record PastAttempts(
        PSortedSet<ShardId> tried, PSortedSet<ShardId> declined, boolean mayHaveRun) {
    static final PastAttempts NONE = new PastAttempts(TreePSet.empty(), TreePSet.empty(), false);

    /** Returns this with a failed attempt in {@code shard} that had the outcome {@code outcome}. */
    PastAttempts withAttempt(Optional<ShardId> shard, Outcome outcome) {
        return new PastAttempts(
                with(tried, shard), declined, mayHaveRun || outcome == Outcome.UNKNOWN);
    }

    /** Returns this after the owner of {@code shard} declined the request. */
    PastAttempts withDecline(Optional<ShardId> shard) {
        return new PastAttempts(tried, with(declined, shard), mayHaveRun);
    }

    /** Returns this with no shard marked as tried, so that all may be tried again. */
    PastAttempts withoutTriedShards() {
        return new PastAttempts(TreePSet.empty(), declined, mayHaveRun);
    }

    private static PSortedSet<ShardId> with(PSortedSet<ShardId> shards, Optional<ShardId> shard) {
        return shard.map(shards::plus).orElse(shards);
    }
}
