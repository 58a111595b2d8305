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
final class Closing {
    /** Tasks that are stopped or removed from queues in one tick. */
    static final int MAX_TASKS_PER_TICK = 500;

    /** Time after which a task that still runs is told to stop again. */
    static final long STOP_AGAIN_MILLIS = 10_000;

    private Closing() {}

    /** Has the tasks of {@code job} in {@code shard} stopped from {@code atMillis} on. */
    static Transition add(State state, ShardId shard, JobId job, long atMillis) {
        ShardJobs jobs = JobQueue.shardJobs(state, shard);
        return Transition.of(JobQueue.withShardJobs(state, shard, jobs.closing(job, atMillis)));
    }

    /** Works off a bounded part of what is to be stopped in {@code shard}. */
    static Transition tick(State state, ShardId shard) {
        Transition result = Transition.of(state);
        int budget = MAX_TASKS_PER_TICK;
        while (budget > 0) {
            ShardJobs jobs = JobQueue.shardJobs(result.state(), shard);
            DueJob next = jobs.closing().isEmpty() ? null : jobs.closing().first();
            if (next == null || next.atMillis() > state.nowMillis()) {
                return result;
            }
            int limit = budget;
            PartState part = jobs.part(next.job());
            budget -= 1 + part.queued().size() + part.placed().size();
            result =
                    result.withState(
                                    JobQueue.withShardJobs(
                                            result.state(), shard, jobs.withoutClosing(next)))
                            .then(s -> close(s, shard, next.job(), limit));
        }
        return result;
    }

    private static Transition close(State state, ShardId shard, JobId job, int limit) {
        Optional<JobRecord> view = state.jobs().view(job);
        PartState part = JobQueue.shardJobs(state, shard).part(job);
        boolean ended = view.isEmpty() || view.get().state().isFinal();
        if (!ended && !JobQueue.isBroken(view.get(), part)) {
            return Transition.of(state);
        }
        int left = limit;
        State cleared = state;
        for (int index : ended ? part.queued().keySet() : TreePSet.<Integer>empty()) {
            if (left-- > 0) {
                cleared = JobQueue.unqueue(cleared, shard, job, index);
            }
        }
        ShardState owned = state.shards().get(shard);
        List<TaskId> told = new ArrayList<>();
        List<TaskId> untold = new ArrayList<>();
        for (PlacedTask task : part.placed().values()) {
            boolean stopping =
                    owned.task(task.task()).map(t -> t.phase() == TaskPhase.STOPPING).orElse(true);
            (stopping ? told : untold).add(task.task());
        }
        Transition result = Transition.of(cleared);
        for (TaskId task : untold.isEmpty() ? told : untold) {
            if (left-- > 0) {
                result = result.then(s -> stop(s, shard, task, "job " + job + " ended"));
            }
        }
        return closed(result, shard, job, left < 0);
    }

    private static Transition closed(Transition result, ShardId shard, JobId job, boolean more) {
        long now = result.state().nowMillis();
        if (more) {
            return result.then(s -> add(s, shard, job, now + 1));
        }
        PartState part = JobQueue.shardJobs(result.state(), shard).part(job);
        if (!part.placed().isEmpty()) {
            return result.then(s -> add(s, shard, job, now + STOP_AGAIN_MILLIS));
        }
        ShardJobs jobs = JobQueue.shardJobs(result.state(), shard);
        return result.withState(JobQueue.withShardJobs(result.state(), shard, jobs.without(job)));
    }

    /** Has the placed tasks of a broken run stopped, unless all of them were told to stop. */
    static Transition addBroken(State state, ShardId shard, JobId job) {
        ShardState owned = state.shards().get(shard);
        for (PlacedTask task : JobQueue.shardJobs(state, shard).part(job).placed().values()) {
            boolean untold =
                    owned.task(task.task())
                            .map(
                                    t ->
                                            t.phase() != TaskPhase.STOPPING
                                                    && t.phase() != TaskPhase.UNCONFIRMED)
                            .orElse(false);
            if (untold) {
                return add(state, shard, job, state.nowMillis());
            }
        }
        return Transition.of(state);
    }

    /** Tells the worker of {@code id} to stop it. */
    static Transition stop(State state, ShardId shard, TaskId id, String reason) {
        ShardState owned = state.shards().get(shard);
        Optional<RunningTask> known = owned.task(id);
        if (known.isEmpty() || known.get().phase() == TaskPhase.UNCONFIRMED) {
            return Transition.of(state);
        }
        RunningTask task = known.get();
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
