package org.jujubefork.core.requests;

import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.RetryBudget;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The callers' requests that this entry has to answer.
 *
 * @param active requests without an answer
 * @param deadlines their deadlines
 * @param retries the retry budget
 * @param avoided shards that just failed, and until when they are avoided
 * @param usedUp shards that just had no budget for a team, and until when this is assumed
 * @param answerBytes smoothed length of answers by queue
 * @param claims work on claims that the store has not confirmed
 */
public record RequestTable(
        PSortedMap<RequestId, FrontRequest> active,
        PSortedSet<WorkQueue.Deadline> deadlines,
        RetryBudget retries,
        PSortedMap<ShardId, Long> avoided,
        PMap<TeamInShard, Long> usedUp,
        PSortedMap<QueueId, Long> answerBytes,
        PendingClaims claims) {
    /** No requests. */
    public static final RequestTable EMPTY =
            new RequestTable(
                    TreePMap.empty(),
                    TreePSet.empty(),
                    RetryBudget.FULL,
                    TreePMap.empty(),
                    HashTreePMap.empty(),
                    TreePMap.empty(),
                    PendingClaims.NONE);

    /**
     * A team in a shard.
     *
     * @param team the team
     * @param shard the shard
     */
    record TeamInShard(TeamId team, ShardId shard) {}

    /** The part of a new answer in the smoothed length is one over this. */
    private static final int ANSWER_SMOOTHING = 8;

    RequestTable arrived(FrontRequest request) {
        return new RequestTable(
                active.plus(request.id(), request),
                deadlines.plus(deadline(request)),
                retries.afterRequest(),
                avoided,
                usedUp,
                answerBytes,
                claims);
    }

    RequestTable with(FrontRequest request) {
        return new RequestTable(
                active.plus(request.id(), request),
                deadlines,
                retries,
                avoided,
                usedUp,
                answerBytes,
                claims);
    }

    RequestTable without(FrontRequest request) {
        return new RequestTable(
                active.minus(request.id()),
                deadlines.minus(deadline(request)),
                refunded(request).retries(),
                avoided,
                usedUp,
                answerBytes,
                claims.withoutReads(request.id()));
    }

    RequestTable retried() {
        return withRetries(retries.afterRetry());
    }

    RequestTable avoiding(ShardId shard, long untilMillis) {
        return new RequestTable(
                active,
                deadlines,
                retries,
                avoided.plus(shard, untilMillis),
                usedUp,
                answerBytes,
                claims);
    }

    RequestTable withUsedUp(TeamId team, ShardId shard, long untilMillis) {
        return new RequestTable(
                active,
                deadlines,
                retries,
                avoided,
                usedUp.plus(new TeamInShard(team, shard), untilMillis),
                answerBytes,
                claims);
    }

    boolean isUsedUp(TeamId team, ShardId shard, long nowMillis) {
        Long until = usedUp.get(new TeamInShard(team, shard));
        return until != null && until > nowMillis;
    }

    /** Returns this table after a retry that {@code request} had paid for was not needed. */
    RequestTable refunded(FrontRequest request) {
        return request.returnable() ? withRetries(retries.afterRefund()) : this;
    }

    private RequestTable withRetries(RetryBudget value) {
        return new RequestTable(active, deadlines, value, avoided, usedUp, answerBytes, claims);
    }

    RequestTable withClaims(PendingClaims value) {
        return new RequestTable(active, deadlines, retries, avoided, usedUp, answerBytes, value);
    }

    RequestTable answered(QueueId queue, long bytes) {
        Long known = answerBytes.get(queue);
        long smoothed = known == null ? bytes : known + (bytes - known) / ANSWER_SMOOTHING;
        return known != null && known == smoothed
                ? this
                : new RequestTable(
                        active,
                        deadlines,
                        retries,
                        avoided,
                        usedUp,
                        answerBytes.plus(queue, smoothed),
                        claims);
    }

    private static WorkQueue.Deadline deadline(FrontRequest request) {
        return new WorkQueue.Deadline(request.deadlineMillis(), request.id());
    }
}
