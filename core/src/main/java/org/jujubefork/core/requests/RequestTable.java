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
 * @param retryBudget the retry budget
 * @param avoidedUntilMillis shards that just failed, and until when they are avoided
 * @param budgetUsedUpUntilMillis shards that just had no budget for a team, and until when this is
 *     assumed
 * @param averageAnswerBytes smoothed length of answers by queue
 * @param pendingClaims work on claims that the store has not confirmed
 */
public record RequestTable(
        PSortedMap<RequestId, CallerRequest> active,
        PSortedSet<WorkQueue.Deadline> deadlines,
        RetryBudget retryBudget,
        PSortedMap<ShardId, Long> avoidedUntilMillis,
        PMap<TeamInShard, Long> budgetUsedUpUntilMillis,
        PSortedMap<QueueId, Long> averageAnswerBytes,
        PendingClaims pendingClaims) {
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
    private static final int ANSWER_SMOOTHING_DIVISOR = 8;

    RequestTable withArrived(CallerRequest request) {
        return new RequestTable(
                active.plus(request.id(), request),
                deadlines.plus(deadlineOf(request)),
                retryBudget.earned(),
                avoidedUntilMillis,
                budgetUsedUpUntilMillis,
                averageAnswerBytes,
                pendingClaims);
    }

    RequestTable with(CallerRequest request) {
        return new RequestTable(
                active.plus(request.id(), request),
                deadlines,
                retryBudget,
                avoidedUntilMillis,
                budgetUsedUpUntilMillis,
                averageAnswerBytes,
                pendingClaims);
    }

    RequestTable without(CallerRequest request) {
        return new RequestTable(
                active.minus(request.id()),
                deadlines.minus(deadlineOf(request)),
                withRetryRefunded(request).retryBudget(),
                avoidedUntilMillis,
                budgetUsedUpUntilMillis,
                averageAnswerBytes,
                pendingClaims.withoutReads(request.id()));
    }

    RequestTable withRetrySpent() {
        return withRetryBudget(retryBudget.spent());
    }

    RequestTable withAvoided(ShardId shard, long untilMillis) {
        return new RequestTable(
                active,
                deadlines,
                retryBudget,
                avoidedUntilMillis.plus(shard, untilMillis),
                budgetUsedUpUntilMillis,
                averageAnswerBytes,
                pendingClaims);
    }

    RequestTable withBudgetUsedUp(TeamId team, ShardId shard, long untilMillis) {
        return new RequestTable(
                active,
                deadlines,
                retryBudget,
                avoidedUntilMillis,
                budgetUsedUpUntilMillis.plus(new TeamInShard(team, shard), untilMillis),
                averageAnswerBytes,
                pendingClaims);
    }

    boolean isBudgetUsedUp(TeamId team, ShardId shard, long nowMillis) {
        Long until = budgetUsedUpUntilMillis.get(new TeamInShard(team, shard));
        return until != null && until > nowMillis;
    }

    /** Returns this table after a retry that {@code request} had paid for was not needed. */
    RequestTable withRetryRefunded(CallerRequest request) {
        return request.returnable() ? withRetryBudget(retryBudget.refunded()) : this;
    }

    private RequestTable withRetryBudget(RetryBudget value) {
        return new RequestTable(
                active,
                deadlines,
                value,
                avoidedUntilMillis,
                budgetUsedUpUntilMillis,
                averageAnswerBytes,
                pendingClaims);
    }

    RequestTable withPendingClaims(PendingClaims value) {
        return new RequestTable(
                active,
                deadlines,
                retryBudget,
                avoidedUntilMillis,
                budgetUsedUpUntilMillis,
                averageAnswerBytes,
                value);
    }

    RequestTable withAnswerBytes(QueueId queue, long bytes) {
        Long average = averageAnswerBytes.get(queue);
        long smoothed =
                average == null ? bytes : average + (bytes - average) / ANSWER_SMOOTHING_DIVISOR;
        return average != null && average == smoothed
                ? this
                : new RequestTable(
                        active,
                        deadlines,
                        retryBudget,
                        avoidedUntilMillis,
                        budgetUsedUpUntilMillis,
                        averageAnswerBytes.plus(queue, smoothed),
                        pendingClaims);
    }

    private static WorkQueue.Deadline deadlineOf(CallerRequest request) {
        return new WorkQueue.Deadline(request.deadlineMillis(), request.id());
    }
}
