package org.jujubefork.core.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.TaskPhase;
import org.pcollections.TreePSet;

/** Stops the remaining tasks of ended jobs and of broken gang runs. */
final class JobCleanup {
    /** Maximum number of tasks that are stopped or dequeued per shard in one tick. */
    static final int MAX_TASKS_PER_TICK = 500;

    /** Interval at which the stop command is repeated while a task still runs. */
    static final long STOP_RETRY_MILLIS = 10_000;

    private JobCleanup() {}

    /** Schedules the cleanup of the tasks of {@code job} in {@code shard} for {@code atMillis}. */
    static Transition schedule(State state, ShardId shard, JobId job, long atMillis) {
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        return Transition.of(
                TaskEnqueuer.withShardJobs(state, shard, jobs.withCleanup(job, atMillis)));
    }

    /** Runs the due cleanups of {@code shard}, up to {@link #MAX_TASKS_PER_TICK} tasks. */
    static Transition tick(State state, ShardId shard) {
        Transition result = Transition.of(state);
        int remainingTasks = MAX_TASKS_PER_TICK;
        while (remainingTasks > 0) {
            ShardJobs jobs = TaskEnqueuer.shardJobs(result.state(), shard);
            TimedJob dueCleanup = jobs.cleanups().isEmpty() ? null : jobs.cleanups().first();
            if (dueCleanup == null || dueCleanup.atMillis() > state.nowMillis()) {
                return result;
            }
            int limit = remainingTasks;
            ShardTasks tasks = jobs.tasksOf(dueCleanup.job());
            remainingTasks -= 1 + tasks.queued().size() + tasks.placed().size();
            result =
                    result.withState(
                                    TaskEnqueuer.withShardJobs(
                                            result.state(), shard, jobs.withoutCleanup(dueCleanup)))
                            .then(s -> cleanUp(s, shard, dueCleanup.job(), limit));
        }
        return result;
    }

    private static Transition cleanUp(State state, ShardId shard, JobId job, int limit) {
        Optional<JobRecord> projected = state.jobs().projectedRecord(job);
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(job);
        boolean hasJobEnded = projected.isEmpty() || projected.get().state().isFinal();
        if (!hasJobEnded && !TaskEnqueuer.isRunBroken(projected.get(), tasks)) {
            return Transition.of(state);
        }
        int remaining = limit;
        State dequeued = state;
        for (int index : hasJobEnded ? tasks.queued().keySet() : TreePSet.<Integer>empty()) {
            if (remaining-- > 0) {
                dequeued = TaskEnqueuer.dequeue(dequeued, shard, job, index);
            }
        }
        ShardState owned = state.shards().get(shard);
        List<TaskId> stoppingTasks = new ArrayList<>();
        List<TaskId> activeTasks = new ArrayList<>();
        for (PlacedTask task : tasks.placed().values()) {
            boolean isStopping =
                    owned.task(task.task()).map(t -> t.phase() == TaskPhase.STOPPING).orElse(true);
            (isStopping ? stoppingTasks : activeTasks).add(task.task());
        }
        Transition result = Transition.of(dequeued);
        for (TaskId task : activeTasks.isEmpty() ? stoppingTasks : activeTasks) {
            if (remaining-- > 0) {
                result =
                        result.then(
                                s ->
                                        stopTask(
                                                s,
                                                shard,
                                                task,
                                                "job "
                                                        + job
                                                        + " ended or its gang run is incomplete"));
            }
        }
        return scheduleNext(result, shard, job, remaining < 0);
    }

    private static Transition scheduleNext(
            Transition result, ShardId shard, JobId job, boolean hasMoreTasks) {
        long now = result.state().nowMillis();
        if (hasMoreTasks) {
            return result.then(s -> schedule(s, shard, job, now + 1));
        }
        ShardTasks tasks = TaskEnqueuer.shardJobs(result.state(), shard).tasksOf(job);
        if (!tasks.placed().isEmpty()) {
            return result.then(s -> schedule(s, shard, job, now + STOP_RETRY_MILLIS));
        }
        ShardJobs jobs = TaskEnqueuer.shardJobs(result.state(), shard);
        return result.withState(
                TaskEnqueuer.withShardJobs(result.state(), shard, jobs.withoutTasks(job)));
    }

    /**
     * Schedules the cleanup of a broken gang run, unless every placed task is already being stopped
     * or is unconfirmed.
     */
    static Transition scheduleBrokenRun(State state, ShardId shard, JobId job) {
        ShardState owned = state.shards().get(shard);
        for (PlacedTask task :
                TaskEnqueuer.shardJobs(state, shard).tasksOf(job).placed().values()) {
            boolean isStoppable =
                    owned.task(task.task())
                            .map(
                                    t ->
                                            t.phase() != TaskPhase.STOPPING
                                                    && t.phase() != TaskPhase.UNCONFIRMED)
                            .orElse(false);
            if (isStoppable) {
                return schedule(state, shard, job, state.nowMillis());
            }
        }
        return Transition.of(state);
    }

    /**
     * Sends a stop command for {@code id} to its worker; does nothing if the task is not known or
     * its start is unconfirmed.
     */
    static Transition stopTask(State state, ShardId shard, TaskId id, String reason) {
        ShardState owned = state.shards().get(shard);
        Optional<RunningTask> placed = owned.task(id);
        if (placed.isEmpty() || placed.get().phase() == TaskPhase.UNCONFIRMED) {
            return Transition.of(state);
        }
        RunningTask task = placed.get();
        return Transition.of(state.withShard(owned.update(task.withPhase(TaskPhase.STOPPING))))
                .with(
                        new WorkerEffect.StopTask(
                                task.worker(),
                                owned.workers().get(task.worker()).listing().address(),
                                owned.epoch(),
                                id,
                                StopMode.STOP))
                .with(
                        new LogDecision(
                                DecisionKind.ENDED,
                                id.value(),
                                Optional.of(task.spec().team()),
                                task.worker().value(),
                                reason,
                                0,
                                0));
    }
}
