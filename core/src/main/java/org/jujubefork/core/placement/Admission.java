package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.limits.BudgetDemand;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.requests.AttemptReporter;

/** Admits requests to the queue of a shard and removes queued requests that cannot run there. */
public final class Admission {
    /**
     * Number of rejections by workers without free capacity after which a request is returned to
     * the entry of its caller.
     */
    static final int MAX_REFUSALS = 3;

    /**
     * Minimum number of queued requests for which the expected wait is compared with the deadline.
     * With fewer queued requests, the drain rate reflects the arrival rate rather than the
     * throughput of the shard.
     */
    static final int MIN_QUEUED_FOR_WAIT_ESTIMATE = 16;

    /**
     * Maximum number of queued requests that are returned from one lane in one tick, to bound its
     * duration.
     */
    static final int MAX_RETURNS_PER_LANE = 64;

    private static final AttemptResult BUDGET_USED_UP =
            AttemptResult.notRunHere(RefusalReason.BUDGET_USED_UP);

    private Admission() {}

    /** Adds {@code request} to the queue of {@code shard}, or reports why it was rejected. */
    public static Transition enqueue(State state, ShardId shard, QueuedWork.Request request) {
        ShardState owned = state.shards().get(shard);
        Configuration configuration = state.configuration().orElseThrow();
        WorkQueue queue = owned.queue();
        if (shouldReturn(state, owned, request)) {
            return AttemptReporter.report(state, request.origin(), BUDGET_USED_UP);
        }
        int maxInQueue = configuration.queue(request.queue()).map(q -> q.maxQueued()).orElse(0);
        boolean wouldMissDeadline = wouldMissDeadline(state, owned, request);
        if (queue.queuedCount(request.queue()) >= maxInQueue || wouldMissDeadline) {
            return rejectOverloaded(state, owned, request);
        }
        State added = state.withShard(owned.withQueue(queue.plus(request)));
        return queue.requestCount() >= configuration.tuning().maxQueuedTotal()
                ? shedNewestOverShare(added, shard)
                : Transition.of(added);
    }

    /**
     * Returns the request of {@code task} to the head of its lane after its worker rejected the
     * start for lack of capacity. After {@link #MAX_REFUSALS} such rejections, the request is
     * returned to the entry of its caller instead.
     */
    static Transition requeue(State state, ShardId shard, RunningTask task) {
        ShardState owned = state.shards().get(shard).release(task.spec().id());
        QueuedWork.Request request = task.request().orElseThrow().withRefusal();
        if (request.refusalCount() >= MAX_REFUSALS) {
            return AttemptReporter.report(
                    state.withShard(owned),
                    request.origin(),
                    AttemptResult.notRunHere(RefusalReason.WORKER_REFUSED));
        }
        return Transition.of(state.withShard(owned.withQueue(owned.queue().plusAtHead(request))));
    }

    /** Removes queued requests whose deadline has passed and reports that they did not start. */
    public static Transition expire(State state, ShardId shard) {
        Transition result = Transition.of(state);
        WorkQueue queue = state.shards().get(shard).queue();
        for (WorkQueue.Deadline deadline : queue.deadlines()) {
            if (deadline.atMillis() > state.nowMillis()) {
                break;
            }
            QueuedWork.Request request = queue.request(deadline.request()).orElseThrow();
            result =
                    result.then(s -> Transition.of(remove(s, shard, request)))
                            .then(
                                    s ->
                                            AttemptReporter.report(
                                                    s,
                                                    request.origin(),
                                                    AttemptResult.notRun(
                                                            RefusalReason.DEADLINE_BEFORE_START)));
        }
        return result;
    }

    /**
     * Returns queued requests to the entries of their callers if the budget of their team in {@code
     * shard} was used up while they waited.
     */
    public static Transition returnOverBudget(State state, ShardId shard) {
        List<QueuedWork.Request> toReturn = new ArrayList<>();
        ShardState owned = state.shards().get(shard);
        for (var keyAndLane : owned.queue().lanes().entrySet()) {
            QueuedWork head = keyAndLane.getValue().firstEntry().getValue();
            if (!(head instanceof QueuedWork.Request request)
                    || !isBetterServedElsewhere(state, owned, request, Resources.ZERO)) {
                continue;
            }
            keyAndLane.getValue().values().stream()
                    .map(QueuedWork.Request.class::cast)
                    .filter(QueuedWork.Request::returnable)
                    .limit(MAX_RETURNS_PER_LANE)
                    .forEach(toReturn::add);
        }
        Transition result = Transition.of(state);
        for (QueuedWork.Request request : toReturn) {
            result =
                    result.then(s -> Transition.of(remove(s, shard, request)))
                            .then(s -> AttemptReporter.report(s, request.origin(), BUDGET_USED_UP));
        }
        return result;
    }

    private static boolean shouldReturn(State state, ShardState shard, QueuedWork.Request request) {
        Resources waiting =
                shard.queue().requestDemand().getOrDefault(request.team(), Resources.ZERO);
        return request.returnable() && isBetterServedElsewhere(state, shard, request, waiting);
    }

    /**
     * Returns whether another shard can serve {@code request} better: the team's budget in this
     * shard is used up, and either the request would exceed that budget even after the team's
     * running work has ended, or the team has enough free budget in another shard.
     */
    private static boolean isBetterServedElsewhere(
            State state, ShardState shard, QueuedWork.Request request, Resources queuedAhead) {
        TeamId team = request.team();
        Resources size = request.size();
        return Limits.isBudgetExhausted(state, shard, team, queuedAhead.plus(size))
                && (!size.fitsIn(Limits.available(state, shard, team))
                        || BudgetDemand.hasBudgetElsewhere(state, shard, team, size));
    }

    /**
     * Returns {@code state} with {@code request} removed from the queue of {@code shard}, if it is
     * queued there.
     */
    public static State remove(State state, ShardId shard, QueuedWork.Request request) {
        ShardState owned = state.shards().get(shard);
        WorkQueue.Position position =
                owned.queue().requestPositions().get(request.origin().request());
        return Optional.ofNullable(position)
                .map(p -> state.withShard(owned.withQueue(owned.queue().minus(p))))
                .orElse(state);
    }

    /** Returns whether {@code request} would miss its deadline at the current drain rate. */
    private static boolean wouldMissDeadline(
            State state, ShardState shard, QueuedWork.Request request) {
        int queuedAhead =
                request.urgent() ? queuedUrgentCount(shard) : shard.queue().requestCount();
        DrainRate drainRate = shard.schedulerState().drainRate().advancedTo(state.nowMillis());
        return queuedAhead >= MIN_QUEUED_FOR_WAIT_ESTIMATE
                && state.nowMillis() + drainRate.expectedWaitMillis(queuedAhead)
                        > request.deadlineMillis();
    }

    private static int queuedUrgentCount(ShardState shard) {
        int count = 0;
        for (var keyAndLane : shard.queue().lanes().entrySet()) {
            if (keyAndLane.getKey().lane() != Lane.URGENT) {
                break;
            }
            count += keyAndLane.getValue().size();
        }
        return count;
    }

    /**
     * Rejects the newest queued request of the team whose usage, including its queued requests, is
     * farthest above its fair share. This prevents a team that floods the queue from displacing the
     * requests of other teams.
     */
    private static Transition shedNewestOverShare(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        TeamId team =
                owned.queue().requestDemand().entrySet().stream()
                        .max(
                                Comparator.comparingDouble(
                                        e ->
                                                FleetUsage.weightedShare(
                                                        state, e.getKey(), e.getValue())))
                        .orElseThrow()
                        .getKey();
        QueuedWork.Request newest = newestRequest(owned.queue(), team);
        return rejectOverloaded(remove(state, shard, newest), owned, newest);
    }

    private static QueuedWork.Request newestRequest(WorkQueue queue, TeamId team) {
        var lane = queue.lane(new LaneKey(Lane.REQUEST, team));
        var candidates = lane.isEmpty() ? queue.lane(new LaneKey(Lane.URGENT, team)) : lane;
        return (QueuedWork.Request) candidates.lastEntry().getValue();
    }

    private static Transition rejectOverloaded(
            State state, ShardState shard, QueuedWork.Request request) {
        DrainRate drainRate = shard.schedulerState().drainRate().advancedTo(state.nowMillis());
        return AttemptReporter.report(
                state,
                request.origin(),
                AttemptResult.notRun(
                        RefusalReason.OVERLOADED,
                        drainRate.retryAfterMillis(shard.queue().requestCount())));
    }
}
