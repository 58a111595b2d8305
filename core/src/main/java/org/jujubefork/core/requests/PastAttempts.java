package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * The outcomes of the ended attempts of a request, as far as they are known.
 *
 * @param triedShards the shards of failed attempts
 * @param decliningShards shards whose owner declined the request because the budget of the team was
 *     used up
 * @param mayHaveRun whether the request may have run in one of the attempts
 */
public record PastAttempts(
        PSortedSet<ShardId> triedShards, PSortedSet<ShardId> decliningShards, boolean mayHaveRun) {
    static final PastAttempts NONE = new PastAttempts(TreePSet.empty(), TreePSet.empty(), false);

    /**
     * Returns these attempts with a failed attempt in {@code shard} that had the outcome {@code
     * outcome}.
     */
    PastAttempts withAttempt(Optional<ShardId> shard, Outcome outcome) {
        return new PastAttempts(
                with(triedShards, shard),
                decliningShards,
                mayHaveRun || outcome == Outcome.UNKNOWN);
    }

    /**
     * Returns these attempts with {@code shard} added to the shards whose owners declined the
     * request.
     */
    PastAttempts withDecline(Optional<ShardId> shard) {
        return new PastAttempts(triedShards, with(decliningShards, shard), mayHaveRun);
    }

    /** Returns these attempts with no shard marked as tried, so that all may be tried again. */
    PastAttempts withoutTriedShards() {
        return new PastAttempts(TreePSet.empty(), decliningShards, mayHaveRun);
    }

    private static PSortedSet<ShardId> with(PSortedSet<ShardId> shards, Optional<ShardId> shard) {
        return shard.map(shards::plus).orElse(shards);
    }
}
