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
 * The requests that this entry received from callers, and the state that their routing needs.
 *
 * @param active requests that have not been answered yet
 * @param deadlines the deadlines of these requests, ordered by time
 * @param retryBudget the budget that bounds retries to a fraction of the requests
 * @param avoidedUntilMillis shards to avoid after a failed attempt, and the time until which to
 *     avoid them
 * @param budgetUsedUpUntilMillis shards without free budget for a team, and the time until which
 *     this is assumed
 * @param averageAnswerBytes the smoothed length of answers in bytes, by queue
 * @param pendingClaims pending store calls about claims
 */
public record RequestTable(
        PSortedMap<RequestId, CallerRequest> active,
        PSortedSet<WorkQueue.Deadline> deadlines,
        RetryBudget retryBudget,
        PSortedMap<ShardId, Long> avoidedUntilMillis,
        PMap<TeamInShard, Long> budgetUsedUpUntilMillis,
        PSortedMap<QueueId, Long> averageAnswerBytes,
        PendingClaims pendingClaims) {
    /** The table without requests, and with a full retry budget. */
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
     * A key for state that is held per team and shard.
     *
     * @param team the team that has the budget
     * @param shard the shard in which the budget is used
     */
    record TeamInShard(TeamId team, ShardId shard) {}

    /** Reciprocal of the weight of a new answer in the smoothed length of answers. */
    private static final int ANSWER_SMOOTHING_DIVISOR = 8;

    RequestTable withArrived(CallerRequest request) {
        return new RequestTable(
                active.plus(request.id(), request),
                deadlines.plus(deadlineOf(request)),
                retryBudget.afterRequest(),
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
        return withRetryBudget(retryBudget.afterRetry());
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

    /** Returns this table with the retry refunded that was spent in advance for {@code request}. */
    RequestTable withRetryRefunded(CallerRequest request) {
        return request.returnable() ? withRetryBudget(retryBudget.afterRefund()) : this;
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
