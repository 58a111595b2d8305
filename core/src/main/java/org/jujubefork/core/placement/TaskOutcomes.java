package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;

/**
 * Applies the outcomes of tasks to the health of their workers and records successes of jobs and
 * queues.
 */
final class TaskOutcomes {
    private TaskOutcomes() {}

    /** Returns {@code shard} after {@code task} succeeded. */
    static ShardState recordSuccess(ShardState shard, RunningTask task, long nowMillis) {
        SchedulerState updated =
                shard.schedulerState().withSuccess(task.healthSubject(), nowMillis);
        WorkerState worker = shard.workers().get(task.worker());
        WorkerHealth health = worker.health().afterSuccess(task.spec().id());
        ShardState withSuccess = shard.withSchedulerState(updated);
        return health.equals(worker.health())
                ? withSuccess
                : withSuccess.withWorker(worker.with(health));
    }

    /** Returns {@code shard} after {@code task} failed. */
    static ShardState recordFailure(State state, ShardState shard, RunningTask task) {
        WorkerState worker = shard.workers().get(task.worker());
        Tuning tuning = state.configuration().map(c -> c.tuning()).orElse(Tuning.DEFAULT);
        boolean succeededLately =
                shard.schedulerState().hasSucceededLately(task.healthSubject(), state.nowMillis());
        WorkerHealth health =
                worker.health()
                        .afterFailure(
                                task.spec().id(),
                                task.healthSubject(),
                                succeededLately,
                                state.nowMillis(),
                                tuning);
        return health.equals(worker.health()) ? shard : shard.withWorker(worker.with(health));
    }
}
