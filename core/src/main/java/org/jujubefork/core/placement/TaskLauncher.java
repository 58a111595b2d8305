package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.jobs.Jobs;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.TreePVector;

/** Places work on a chosen worker and emits the start command. */
final class TaskLauncher {
    private TaskLauncher() {}

    /** Launches {@code work}, which was already removed from the queue, on {@code worker}. */
    static Transition launch(State state, ShardId shard, QueuedWork work, WorkerId worker) {
        ShardState owned = state.shards().get(shard);
        List<Effect> effects = new ArrayList<>();
        ShardState placed =
                switch (work) {
                    case QueuedWork.Request request ->
                            placeAndStart(
                                    owned,
                                    state.nowMillis(),
                                    spec(owned, request),
                                    worker,
                                    work,
                                    effects);
                    case QueuedWork.Task task ->
                            placeAndStart(
                                    owned,
                                    state.nowMillis(),
                                    spec(
                                            owned,
                                            task,
                                            new JobTask(task.job(), task.index(), task.attempt()),
                                            task.payload()),
                                    worker,
                                    work,
                                    effects);
                    case QueuedWork.Gang gang ->
                            throw new IllegalArgumentException(
                                    "cannot launch a gang as a single task: " + gang.job());
                };
        return withJobsNotified(
                new Transition(state.withShard(placed), TreePVector.from(effects)), shard);
    }

    /**
     * Informs the jobs of {@code shard} about the tasks for which {@code placed} emits start
     * commands.
     */
    static Transition withJobsNotified(Transition placed, ShardId shard) {
        Transition result = placed;
        for (Effect effect : placed.effects()) {
            if (effect instanceof WorkerEffect.StartTask command
                    && command.task().jobTask().isPresent()) {
                result =
                        result.then(
                                s ->
                                        Jobs.taskPlaced(
                                                s,
                                                shard,
                                                s.shards()
                                                        .get(shard)
                                                        .tasks()
                                                        .get(command.task().id())));
            }
        }
        return result;
    }

    /**
     * Returns {@code shard} with the task {@code index} of {@code gang} placed on {@code worker};
     * adds the effects of the start to {@code effects}.
     */
    static ShardState placeGangTask(
            ShardState shard,
            long nowMillis,
            QueuedWork.Gang gang,
            int index,
            WorkerId worker,
            List<Effect> effects) {
        JobTask task = new JobTask(gang.job(), index, gang.attempt());
        TaskSpec spec = spec(shard, gang, task, gang.payload());
        return placeAndStart(shard, nowMillis, spec, worker, gang, effects);
    }

    private static ShardState placeAndStart(
            ShardState owned,
            long nowMillis,
            TaskSpec spec,
            WorkerId worker,
            QueuedWork work,
            List<Effect> effects) {
        WorkerState target = owned.workers().get(worker);
        Optional<QueuedWork.Request> request =
                work instanceof QueuedWork.Request r ? Optional.of(r) : Optional.empty();
        Resources learned = owned.schedulerState().learnedSize(work.queue(), work.size());
        RunningTask task = RunningTask.starting(spec, worker, nowMillis, request, learned);
        effects.add(
                new WorkerEffect.StartTask(
                        worker,
                        target.listing().address(),
                        owned.epoch(),
                        target.incarnation(),
                        spec,
                        task.origin().map(RequestOrigin::request)));
        effects.add(
                new LogDecision(
                        DecisionKind.PLACED,
                        spec.id().value(),
                        Optional.of(spec.team()),
                        worker.value(),
                        spec.kind().name(),
                        Math.max(0, owned.workerIndex().size() - 1),
                        nowMillis - work.waitingSinceMillis()));
        ShardState placed = owned.place(task).withQueue(owned.queue().withNextSequence());
        SchedulerState schedulerState = placed.schedulerState();
        return request.isEmpty()
                ? placed
                : placed.withSchedulerState(
                        schedulerState.withDrainRate(
                                schedulerState.drainRate().withStart(nowMillis)));
    }

    private static TaskSpec spec(ShardState shard, QueuedWork.Request work) {
        return new TaskSpec(
                taskId(work.origin().request().value(), shard),
                work.team(),
                work.queue(),
                work.kind(),
                work.size(),
                Optional.empty(),
                "");
    }

    private static TaskSpec spec(ShardState shard, QueuedWork work, JobTask task, String payload) {
        return new TaskSpec(
                taskId(task.job() + "/" + task.index(), shard),
                work.team(),
                work.queue(),
                work.kind(),
                work.size(),
                Optional.of(task),
                payload);
    }

    /**
     * Returns a unique task id for one start: the sequence number is unique within the epoch of the
     * shard.
     */
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
