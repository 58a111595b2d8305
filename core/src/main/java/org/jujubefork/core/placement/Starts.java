package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.jobs.Jobs;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerId;

/** Places work on a chosen worker and sends the start. */
final class Starts {
    private Starts() {}

    /** Starts {@code work}, which is no longer in the queue, on {@code worker}. */
    static Transition one(State state, ShardId shard, QueuedWork work, WorkerId worker) {
        return switch (work) {
            case QueuedWork.Request request ->
                    start(state, shard, spec(state, shard, request), worker, work, request);
            case QueuedWork.Task task ->
                    start(
                            state,
                            shard,
                            spec(
                                    state,
                                    shard,
                                    task,
                                    new JobTask(task.job(), task.index(), task.attempt()),
                                    task.payload()),
                            worker,
                            work,
                            null);
            case QueuedWork.Gang gang ->
                    throw new IllegalArgumentException(
                            "a gang is not started as one task: " + gang.job());
        };
    }

    /** Starts the task {@code index} of {@code gang} on {@code worker}. */
    static Transition gangTask(
            State state, ShardId shard, QueuedWork.Gang gang, int index, WorkerId worker) {
        JobTask task = new JobTask(gang.job(), index, gang.attempt());
        TaskSpec spec = spec(state, shard, gang, task, gang.payload());
        return start(state, shard, spec, worker, gang, null);
    }

    private static Transition start(
            State state,
            ShardId shard,
            TaskSpec spec,
            WorkerId worker,
            QueuedWork work,
            QueuedWork.Request request) {
        ShardState owned = state.shards().get(shard);
        WorkerState chosen = owned.workers().get(worker);
        Optional<RequestOrigin> origin =
                Optional.ofNullable(request).map(QueuedWork.Request::origin);
        Resources learned = owned.scheduling().learnedSize(work.queue(), work.size());
        RunningTask bare =
                RunningTask.starting(spec, worker, state.nowMillis(), origin).charged(learned);
        RunningTask task = request == null ? bare : bare.startedFor(request);
        ShardState placed = owned.place(task).withQueue(owned.queue().withNextSequence());
        if (request != null) {
            Scheduling noted = placed.scheduling();
            placed =
                    placed.withScheduling(
                            noted.withDrain(noted.drain().plusStart(state.nowMillis())));
        }
        return Jobs.taskPlaced(state.withShard(placed), shard, task)
                .with(
                        new WorkerEffect.StartTask(
                                worker,
                                chosen.listing().address(),
                                owned.epoch(),
                                chosen.incarnation(),
                                spec,
                                origin.map(RequestOrigin::request)))
                .with(
                        new LogDecision(
                                DecisionKind.PLACED,
                                spec.id().value(),
                                Optional.of(spec.team()),
                                worker.value(),
                                spec.kind().name(),
                                Math.max(0, owned.index().size() - 1),
                                state.nowMillis() - work.sinceMillis()));
    }

    private static TaskSpec spec(State state, ShardId shard, QueuedWork.Request work) {
        return new TaskSpec(
                taskId(work.origin().request().value(), state.shards().get(shard)),
                work.team(),
                work.queue(),
                work.kind(),
                work.size(),
                Optional.empty(),
                "");
    }

    private static TaskSpec spec(
            State state, ShardId shard, QueuedWork work, JobTask task, String payload) {
        return new TaskSpec(
                taskId(task.job() + "/" + task.index(), state.shards().get(shard)),
                work.team(),
                work.queue(),
                work.kind(),
                work.size(),
                Optional.of(task),
                payload);
    }

    /** Returns an id that no other start has: the sequence is unique under the epoch. */
    private static TaskId taskId(String subject, ShardState shard) {
        return TaskId.of(
                subject
                        + ":"
                        + shard.id()
                        + "."
                        + shard.epoch().number()
                        + "."
                        + shard.queue().nextSequence());
    }
}
