package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.ownership.UnreachableOwners;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.PSortedMap;

/** Reduces job events: schedules tasks of jobs and keeps job records in line with their tasks. */
public final class Jobs {
    /** Maximum number of jobs per shard for which tasks are queued in one tick. */
    static final int MAX_REFILLS_PER_TICK = 100;

    /** Maximum number of delayed tasks per shard that are queued again in one tick. */
    static final int MAX_REQUEUES_PER_TICK = 500;

    private Jobs() {}

    /** Reduces an event about a job or its record. */
    public static Transition reduce(State state, JobEvent event) {
        return switch (event) {
            case JobEvent.JobRecordsChanged e -> recordsChanged(state, e);
            case JobEvent.JobSubmitted e -> Submissions.submitted(state, e);
            case JobEvent.JobCancelRequested e -> Submissions.cancelRequested(state, e);
            case JobEvent.JobWritten e ->
                    applyRecord(state, e.stored())
                            .then(
                                    s ->
                                            Transition.of(
                                                    JobRecordWriter.writeConfirmed(
                                                            s, e.stored().record().id())));
            case JobEvent.JobWriteFailed e ->
                    Submissions.writeFailed(state, e).then(s -> JobRecordWriter.writeFailed(s, e));
        };
    }

    /**
     * Performs the periodic work that is due: queues and stops tasks, writes records and answers
     * callers.
     */
    public static Transition tick(State state) {
        Transition result = Transition.of(withoutLostShards(state));
        for (ShardId shard : state.shards().keySet()) {
            result = result.then(s -> tickShard(s, shard));
        }
        return result.then(Submissions::tick).then(JobRecordWriter::tick).then(JobRetention::tick);
    }

    /** Records that a task of a job was placed on a worker, or was found running there. */
    public static Transition taskPlaced(State state, ShardId shard, RunningTask task) {
        return task.spec().jobTask().isPresent()
                ? TaskLifecycle.taskPlaced(state, shard, task)
                : Transition.of(state);
    }

    /** Records that a task of a job ended on {@code worker}. */
    public static Transition taskEnded(
            State state, ShardId shard, WorkerId worker, EndedTask task) {
        return TaskLifecycle.taskEnded(state, shard, worker, task);
    }

    /**
     * Records that a task of a job has definitely stopped running and that its result is unknown,
     * such as after its lease expired.
     */
    public static Transition taskLost(State state, ShardId shard, RunningTask task) {
        return TaskLifecycle.taskLost(state, shard, task);
    }

    /** Records that a placed task of a job was not started on its worker. */
    public static Transition startRefused(State state, ShardId shard, RunningTask task) {
        return TaskLifecycle.startRefused(state, shard, task);
    }

    private static State withoutLostShards(State state) {
        PSortedMap<ShardId, ShardJobs> remaining = state.jobs().shards();
        for (var shardAndJobs : state.jobs().shards().entrySet()) {
            ShardState owned = state.shards().get(shardAndJobs.getKey());
            if (owned == null || !owned.epoch().equals(shardAndJobs.getValue().epoch())) {
                remaining = remaining.minus(shardAndJobs.getKey());
            }
        }
        return remaining == state.jobs().shards()
                ? state
                : state.withJobs(state.jobs().withShards(remaining));
    }

    private static Transition tickShard(State state, ShardId shard) {
        State checked = updateAllTasksKnown(state, shard);
        Transition result = Transition.of(requeueDelayed(checked, shard));
        int remaining = MAX_REFILLS_PER_TICK;
        for (TimedJob timedJob : TaskEnqueuer.shardJobs(result.state(), shard).jobsToRefill()) {
            if (remaining-- == 0 || !TaskEnqueuer.shardJobs(checked, shard).allTasksKnown()) {
                break;
            }
            // Removes the item exactly as listed, since its time differs from the submission time
            // if the record
            // became known only after the job was marked.
            ShardJobs jobs = TaskEnqueuer.shardJobs(result.state(), shard);
            ShardJobs updated = jobs.withJobsToRefill(jobs.jobsToRefill().minus(timedJob));
            result =
                    result.withState(TaskEnqueuer.withShardJobs(result.state(), shard, updated))
                            .then(s -> TaskEnqueuer.refill(s, shard, timedJob.job()));
        }
        return result.then(s -> JobCleanup.tick(s, shard)).then(s -> TaskMigrator.tick(s, shard));
    }

    /**
     * Sets {@link ShardJobs#allTasksKnown} once every worker of the shard was acquired, or has
     * definitely stopped the tasks of earlier owners because their leases expired. If tasks were
     * started earlier, a task of an earlier owner could run twice.
     */
    private static State updateAllTasksKnown(State state, ShardId shard) {
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        ShardState owned = state.shards().get(shard);
        boolean earlierLeasesExpired =
                UnreachableOwners.areRuledOut(state)
                        && state.nowMillis() - owned.claimedAtMillis()
                                >= state.timing().leaseExpiryWithMarginMillis();
        boolean areAllKnown =
                jobs.allTasksKnown()
                        || earlierLeasesExpired
                        || owned.workers().values().stream().allMatch(w -> w.incarnation() != 0);
        return TaskEnqueuer.withShardJobs(
                state,
                shard,
                areAllKnown && !jobs.allTasksKnown() ? jobs.withAllTasksKnown() : jobs);
    }

    private static State requeueDelayed(State state, ShardId shard) {
        State result = state;
        for (int i = 0; i < MAX_REQUEUES_PER_TICK; i++) {
            ShardJobs jobs = TaskEnqueuer.shardJobs(result, shard);
            DelayedTask dueTask =
                    jobs.delayedTasks().isEmpty() ? null : jobs.delayedTasks().first();
            if (dueTask == null || dueTask.atMillis() > state.nowMillis()) {
                return result;
            }
            ShardTasks tasks = jobs.tasksOf(dueTask.job());
            ShardJobs updated = jobs.withDelayedTasks(jobs.delayedTasks().minus(dueTask));
            if (!tasks.delayed().contains(dueTask.index())) {
                result = TaskEnqueuer.withShardJobs(result, shard, updated);
                continue;
            }
            updated =
                    updated.withTasks(
                            dueTask.job(),
                            tasks.withDelayed(tasks.delayed().minus(dueTask.index())));
            result =
                    TaskEnqueuer.requeue(
                            TaskEnqueuer.withShardJobs(result, shard, updated),
                            shard,
                            dueTask.job(),
                            dueTask.index());
        }
        return result;
    }

    private static Transition recordsChanged(State state, JobEvent.JobRecordsChanged event) {
        Transition result = Transition.of(state);
        for (StoredJob stored : event.records()) {
            result = result.then(s -> applyRecord(s, stored));
        }
        for (JobId job : event.removed()) {
            result = result.then(s -> recordRemoved(s, job));
        }
        return result;
    }

    private static Transition recordRemoved(State state, JobId job) {
        State discarded = JobRecordWriter.discard(state, job);
        Transition result = Transition.of(discarded.withJobs(discarded.jobs().withoutRecord(job)));
        for (ShardState shard : state.shards().values()) {
            if (!TaskEnqueuer.shardJobs(state, shard.id()).tasksOf(job).isIdle()) {
                result = result.then(s -> JobCleanup.schedule(s, shard.id(), job, s.nowMillis()));
            }
        }
        return result;
    }

    /**
     * Applies a record that is known to be stored, unless the same or a newer revision is already
     * known.
     */
    private static Transition applyRecord(State state, StoredJob stored) {
        JobId job = stored.record().id();
        Optional<JobRecord> before = state.jobs().record(job);
        JobTable table = state.jobs().withRecord(stored, state.nowMillis());
        if (table == state.jobs()) {
            return Transition.of(state);
        }
        State updated = Submissions.withoutSubmission(state.withJobs(table), job);
        Transition result =
                JobRecordWriter.dropRecorded(updated, job)
                        .then(s -> JobRecordWriter.answerCallers(s, job));
        for (ShardId shard : state.shards().keySet()) {
            result = result.then(s -> updateShard(s, shard, before, stored.record()));
        }
        return result;
    }

    private static Transition updateShard(
            State state, ShardId shard, Optional<JobRecord> before, JobRecord record) {
        JobId job = record.id();
        boolean hasTasks = !TaskEnqueuer.shardJobs(state, shard).tasksOf(job).isIdle();
        boolean isAffected =
                hasTasks
                        || record.isAssignedTo(shard)
                        || before.map(b -> b.isAssignedTo(shard)).orElse(false);
        if (!isAffected) {
            return Transition.of(state);
        }
        if (record.state().isFinal()) {
            return JobCleanup.schedule(state, shard, job, state.nowMillis());
        }
        boolean havePartsChanged = before.isEmpty() || !before.get().parts().equals(record.parts());
        boolean areAllTasksKnown = TaskEnqueuer.shardJobs(state, shard).allTasksKnown();
        if (havePartsChanged && areAllTasksKnown) {
            return Transition.of(TaskEnqueuer.recomputeUnqueued(state, shard, job))
                    .then(s -> TaskEnqueuer.refill(s, shard, job));
        }
        return Transition.of(
                havePartsChanged || record.kind() == WorkKind.GANG
                        ? TaskEnqueuer.markForRefill(state, shard, job)
                        : state);
    }
}
