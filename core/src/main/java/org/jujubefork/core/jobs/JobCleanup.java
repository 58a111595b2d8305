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

/** Stops what is left of jobs that ended, and of broken runs of gangs. */
final class JobCleanup {
    /** Tasks that are stopped or removed from queues in one tick. */
    static final int MAX_TASKS_PER_TICK = 500;

    /** Time after which a task that still runs is told to stop again. */
    static final long STOP_RETRY_MILLIS = 10_000;

    private JobCleanup() {}

    /** Has the tasks of {@code job} in {@code shard} stopped from {@code atMillis} on. */
    static Transition schedule(State state, ShardId shard, JobId job, long atMillis) {
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        return Transition.of(
                TaskEnqueuer.withShardJobs(state, shard, jobs.withCleanup(job, atMillis)));
    }

    /** Works off a bounded part of what is to be stopped in {@code shard}. */
    static Transition tick(State state, ShardId shard) {
        Transition result = Transition.of(state);
        int budget = MAX_TASKS_PER_TICK;
        while (budget > 0) {
            ShardJobs jobs = TaskEnqueuer.shardJobs(result.state(), shard);
            TimedJob next = jobs.cleanups().isEmpty() ? null : jobs.cleanups().first();
            if (next == null || next.atMillis() > state.nowMillis()) {
                return result;
            }
            int limit = budget;
            ShardTasks tasks = jobs.tasksOf(next.job());
            budget -= 1 + tasks.queued().size() + tasks.placed().size();
            result =
                    result.withState(
                                    TaskEnqueuer.withShardJobs(
                                            result.state(), shard, jobs.withoutCleanup(next)))
                            .then(s -> cleanUp(s, shard, next.job(), limit));
        }
        return result;
    }

    private static Transition cleanUp(State state, ShardId shard, JobId job, int limit) {
        Optional<JobRecord> projected = state.jobs().projectedRecord(job);
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(job);
        boolean ended = projected.isEmpty() || projected.get().state().isFinal();
        if (!ended && !TaskEnqueuer.isRunBroken(projected.get(), tasks)) {
            return Transition.of(state);
        }
        int remaining = limit;
        State dequeued = state;
        for (int index : ended ? tasks.queued().keySet() : TreePSet.<Integer>empty()) {
            if (remaining-- > 0) {
                dequeued = TaskEnqueuer.dequeue(dequeued, shard, job, index);
            }
        }
        ShardState owned = state.shards().get(shard);
        List<TaskId> stoppingTasks = new ArrayList<>();
        List<TaskId> activeTasks = new ArrayList<>();
        for (PlacedTask task : tasks.placed().values()) {
            boolean stopping =
                    owned.task(task.task()).map(t -> t.phase() == TaskPhase.STOPPING).orElse(true);
            (stopping ? stoppingTasks : activeTasks).add(task.task());
        }
        Transition result = Transition.of(dequeued);
        for (TaskId task : activeTasks.isEmpty() ? stoppingTasks : activeTasks) {
            if (remaining-- > 0) {
                result = result.then(s -> stopTask(s, shard, task, "job " + job + " ended"));
            }
        }
        return scheduleNext(result, shard, job, remaining < 0);
    }

    private static Transition scheduleNext(
            Transition result, ShardId shard, JobId job, boolean more) {
        long now = result.state().nowMillis();
        if (more) {
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

    /** Has the placed tasks of a broken run stopped, unless all of them were told to stop. */
    static Transition scheduleBrokenRun(State state, ShardId shard, JobId job) {
        ShardState owned = state.shards().get(shard);
        for (PlacedTask task :
                TaskEnqueuer.shardJobs(state, shard).tasksOf(job).placed().values()) {
            boolean stoppable =
                    owned.task(task.task())
                            .map(
                                    t ->
                                            t.phase() != TaskPhase.STOPPING
                                                    && t.phase() != TaskPhase.UNCONFIRMED)
                            .orElse(false);
            if (stoppable) {
                return schedule(state, shard, job, state.nowMillis());
            }
        }
        return Transition.of(state);
    }

    /** Tells the worker of {@code id} to stop it. */
    static Transition stopTask(State state, ShardId shard, TaskId id, String reason) {
        ShardState owned = state.shards().get(shard);
        Optional<RunningTask> known = owned.task(id);
        if (known.isEmpty() || known.get().phase() == TaskPhase.UNCONFIRMED) {
            return Transition.of(state);
        }
        RunningTask task = known.get();
        return Transition.of(state.withShard(owned.update(task.in(TaskPhase.STOPPING))))
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
