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
 * @param maybeRan whether an attempt may have run
 */
public record PastAttempts(
        PSortedSet<ShardId> tried, PSortedSet<ShardId> declined, boolean maybeRan) {
    static final PastAttempts NONE = new PastAttempts(TreePSet.empty(), TreePSet.empty(), false);

    /** Returns these attempts and one in {@code shard}. */
    PastAttempts plus(Optional<ShardId> shard, Outcome outcome) {
        return new PastAttempts(
                and(tried, shard), declined, maybeRan || outcome == Outcome.UNKNOWN);
    }

    /** Returns these attempts after the owner of {@code shard} reported the request back. */
    PastAttempts declinedBy(Optional<ShardId> shard) {
        return new PastAttempts(tried, and(declined, shard), maybeRan);
    }

    /** Returns these attempts with every shard open to another one. */
    PastAttempts withoutTried() {
        return new PastAttempts(TreePSet.empty(), declined, maybeRan);
    }

    private static PSortedSet<ShardId> and(PSortedSet<ShardId> shards, Optional<ShardId> shard) {
        return shard.map(shards::plus).orElse(shards);
    }
}
