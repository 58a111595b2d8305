package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.requests.Attempts;

/** Decides whether a request may wait in a shard. */
public final class Admission {
    /** How long a caller is told to wait when too much work is waiting. */
    static final long RETRY_AFTER_MILLIS = 1_000;

    private Admission() {}

    /** Puts {@code request} into the queue of {@code shard}, or reports why not. */
    public static Transition enqueue(State state, ShardId shard, QueuedWork.Request request) {
        ShardState owned = state.shards().get(shard);
        Configuration configuration = state.configuration().orElseThrow();
        int ofTeam = owned.queue().lane(new LaneKey(request.lane(), request.team())).size();
        int maxOfTeam = configuration.queue(request.queue()).map(q -> q.maxQueued()).orElse(0);
        if (ofTeam >= maxOfTeam
                || owned.queue().size() >= configuration.tuning().maxQueuedTotal()) {
            return Attempts.report(
                    state,
                    request.origin(),
                    AttemptResult.notRun(RefusalReason.OVERLOADED, RETRY_AFTER_MILLIS));
        }
        return Transition.of(state.withShard(owned.withQueue(owned.queue().plus(request))));
    }

    /** Removes waiting requests whose deadline has passed. */
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
                                            Attempts.report(
                                                    s,
                                                    request.origin(),
                                                    AttemptResult.notRun(
                                                            RefusalReason.DEADLINE_BEFORE_START)));
        }
        return result;
    }

    /** Returns {@code state} without the waiting request. */
    public static State remove(State state, ShardId shard, QueuedWork.Request request) {
        ShardState owned = state.shards().get(shard);
        WorkQueue.Position position = owned.queue().requests().get(request.origin().request());
        return Optional.ofNullable(position)
                .map(p -> state.withShard(owned.withQueue(owned.queue().minus(p))))
                .orElse(state);
    }
}
