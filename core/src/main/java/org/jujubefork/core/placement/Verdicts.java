package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;

/** Notes what the end of a task says of its worker. */
final class Verdicts {
    private Verdicts() {}

    /** Returns {@code shard} after {@code task} succeeded. */
    static ShardState succeeded(ShardState shard, RunningTask task, long nowMillis) {
        Scheduling noted = shard.scheduling().withSuccess(task.subject(), nowMillis);
        WorkerState worker = shard.workers().get(task.worker());
        WorkerHealth health = worker.health().succeeded(task.spec().id());
        ShardState proven = shard.withScheduling(noted);
        return health.equals(worker.health()) ? proven : proven.withWorker(worker.in(health));
    }

    /** Returns {@code shard} after {@code task} failed. */
    static ShardState failed(State state, ShardState shard, RunningTask task) {
        WorkerState worker = shard.workers().get(task.worker());
        Tuning tuning = state.configuration().map(c -> c.tuning()).orElse(Tuning.DEFAULT);
        boolean proven = shard.scheduling().isProven(task.subject(), state.nowMillis());
        WorkerHealth health =
                worker.health()
                        .failed(
                                task.spec().id(),
                                task.subject(),
                                proven,
                                state.nowMillis(),
                                tuning);
        return health.equals(worker.health()) ? shard : shard.withWorker(worker.in(health));
    }
}
