package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.Workers;
import org.pcollections.PSortedMap;

/** Updates a job when one of its tasks is placed, ends, is lost or is refused by its worker. */
final class TaskLifecycle {
    /** Delay before the first retry of a failed task; it doubles with each further failure. */
    static final long INITIAL_RETRY_DELAY_MILLIS = 1_000;

    /** Upper bound of the delay before a failed task or replica is queued again. */
    static final long MAX_RETRY_DELAY_MILLIS = 60_000;

    /** A replica that exits by itself after a shorter run time counts as a quick failure. */
    static final long MIN_HEALTHY_RUN_MILLIS = 60_000;

    private static final int MAX_DOUBLINGS = 6;

    private TaskLifecycle() {}

    static Transition taskEnded(State state, ShardId shard, WorkerId worker, EndedTask task) {
        JobTask jobTask = task.spec().jobTask().orElseThrow();
        TaskId id = task.spec().id();
        Optional<PlacedTask> current =
                TaskEnqueuer.findPlaced(state, shard, jobTask.job(), jobTask.index(), id);
        State unplaced = current.isPresent() ? unplace(state, shard, jobTask) : state;
        PendingCompletion completion =
                new PendingCompletion(
                        Optional.of(worker),
                        id,
                        jobTask.index(),
                        jobTask.attempt(),
                        task.reason(),
                        task.message(),
                        task.progress());
        return switch (task.spec().kind()) {
            case SERVICE -> replicaEnded(unplaced, shard, jobTask, completion, current);
            case GANG -> gangTaskEnded(unplaced, shard, jobTask, completion, current.isPresent());
            default -> batchTaskEnded(unplaced, shard, jobTask, completion, current.isPresent());
        };
    }

    private static State unplace(State state, ShardId shard, JobTask jobTask) {
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(jobTask.job());
        return TaskEnqueuer.withTasks(
                state,
                shard,
                jobTask.job(),
                tasks.withPlaced(tasks.placed().minus(jobTask.index())));
    }

    private static Transition replicaEnded(
            State state,
            ShardId shard,
            JobTask jobTask,
            PendingCompletion completion,
            Optional<PlacedTask> current) {
        State acknowledged =
                Workers.acknowledge(state, completion.worker().orElseThrow(), completion.task());
        if (current.isEmpty()) {
            return Transition.of(acknowledged);
        }
        boolean hasEndedByItself =
                completion.reason() == EndReason.FAILED
                        || completion.reason() == EndReason.SUCCEEDED;
        long runMillis = state.nowMillis() - current.get().placedAtMillis();
        return Transition.of(
                hasEndedByItself && runMillis < MIN_HEALTHY_RUN_MILLIS
                        ? delayReplica(acknowledged, shard, jobTask)
                        : TaskEnqueuer.requeue(
                                resetQuickFailures(acknowledged, shard, jobTask),
                                shard,
                                jobTask.job(),
                                jobTask.index()));
    }

    private static State delayReplica(State state, ShardId shard, JobTask jobTask) {
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(jobTask.job());
        PSortedMap<Integer, Integer> failures = tasks.quickFailures();
        int count = failures.containsKey(jobTask.index()) ? failures.get(jobTask.index()) : 0;
        State counted =
                TaskEnqueuer.withTasks(
                        state,
                        shard,
                        jobTask.job(),
                        tasks.withQuickFailures(failures.plus(jobTask.index(), count + 1)));
        return TaskEnqueuer.requeueAfter(
                counted, shard, jobTask.job(), jobTask.index(), retryDelayMillis(count));
    }

    private static State resetQuickFailures(State state, ShardId shard, JobTask jobTask) {
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(jobTask.job());
        return TaskEnqueuer.withTasks(
                state,
                shard,
                jobTask.job(),
                tasks.withQuickFailures(tasks.quickFailures().minus(jobTask.index())));
    }

    private static long retryDelayMillis(int failuresBefore) {
        long doubled = INITIAL_RETRY_DELAY_MILLIS << Math.min(failuresBefore, MAX_DOUBLINGS);
        return Math.min(MAX_RETRY_DELAY_MILLIS, doubled);
    }

    private static Transition gangTaskEnded(
            State state,
            ShardId shard,
            JobTask jobTask,
            PendingCompletion completion,
            boolean isCurrent) {
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(jobTask.job());
        if (!isCurrent && tasks.lastQueuedRun() >= completion.attempt()) {
            // This owner considered the task lost and has since queued the same run again.
            return Transition.of(
                    Workers.acknowledge(
                            state, completion.worker().orElseThrow(), completion.task()));
        }
        return JobRecordWriter.addCompletion(state, jobTask.job(), completion)
                .then(s -> Transition.of(TaskEnqueuer.markForRefill(s, shard, jobTask.job())));
    }

    private static Transition batchTaskEnded(
            State state,
            ShardId shard,
            JobTask jobTask,
            PendingCompletion completion,
            boolean isCurrent) {
        JobId job = jobTask.job();
        Transition recorded =
                CompletionMerger.mustBeRecorded(WorkKind.BATCH, completion.reason())
                        ? JobRecordWriter.addCompletion(state, job, completion)
                        : Transition.of(
                                Workers.acknowledge(
                                        state,
                                        completion.worker().orElseThrow(),
                                        completion.task()));
        if (completion.reason() == EndReason.SUCCEEDED) {
            return recorded.then(s -> cancelOtherAttempt(s, shard, jobTask));
        }
        if (!isCurrent) {
            return recorded;
        }
        return recorded.then(
                s ->
                        Transition.of(
                                completion.reason() == EndReason.FAILED
                                        ? TaskEnqueuer.requeueAfter(
                                                s,
                                                shard,
                                                job,
                                                jobTask.index(),
                                                retryDelayMillis(jobTask.attempt() - 1))
                                        : TaskEnqueuer.requeue(s, shard, job, jobTask.index())));
    }

    /** Dequeues or stops another attempt of a task that has succeeded. */
    private static Transition cancelOtherAttempt(State state, ShardId shard, JobTask jobTask) {
        State dequeued = TaskEnqueuer.dequeue(state, shard, jobTask.job(), jobTask.index());
        PlacedTask other =
                TaskEnqueuer.shardJobs(dequeued, shard)
                        .tasksOf(jobTask.job())
                        .placed()
                        .get(jobTask.index());
        return other == null
                ? Transition.of(dequeued)
                : JobCleanup.stopTask(dequeued, shard, other.task(), "another attempt succeeded");
    }

    static Transition taskLost(State state, ShardId shard, RunningTask task) {
        JobTask jobTask = task.spec().jobTask().orElseThrow();
        TaskId id = task.spec().id();
        if (TaskEnqueuer.findPlaced(state, shard, jobTask.job(), jobTask.index(), id).isEmpty()) {
            return Transition.of(state);
        }
        State unplaced = unplace(state, shard, jobTask);
        if (task.spec().kind() != WorkKind.GANG) {
            return Transition.of(
                    TaskEnqueuer.requeue(unplaced, shard, jobTask.job(), jobTask.index()));
        }
        PendingCompletion completion =
                new PendingCompletion(
                        Optional.empty(),
                        id,
                        jobTask.index(),
                        jobTask.attempt(),
                        EndReason.LEASE_EXPIRED,
                        "",
                        0);
        return JobRecordWriter.addCompletion(unplaced, jobTask.job(), completion)
                .then(s -> Transition.of(TaskEnqueuer.markForRefill(s, shard, jobTask.job())));
    }

    static Transition startRefused(State state, ShardId shard, RunningTask task) {
        JobTask jobTask = task.spec().jobTask().orElseThrow();
        TaskId id = task.spec().id();
        if (TaskEnqueuer.findPlaced(state, shard, jobTask.job(), jobTask.index(), id).isEmpty()) {
            return Transition.of(state);
        }
        State unplaced = unplace(state, shard, jobTask);
        return Transition.of(
                task.spec().kind() == WorkKind.GANG
                        ? TaskEnqueuer.markForRefill(unplaced, shard, jobTask.job())
                        : TaskEnqueuer.requeue(unplaced, shard, jobTask.job(), jobTask.index()));
    }

    static Transition taskPlaced(State state, ShardId shard, RunningTask task) {
        JobTask jobTask = task.spec().jobTask().orElseThrow();
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        ShardTasks tasks = jobs.tasksOf(jobTask.job());
        PlacedTask other = tasks.placed().get(jobTask.index());
        if (other != null && !other.task().equals(task.spec().id())) {
            return JobCleanup.stopTask(
                    state, shard, task.spec().id(), "already placed as " + other.task());
        }
        // A task that a worker reports as running may also still be in the queue.
        int queueIndex = task.spec().kind() == WorkKind.GANG ? 0 : jobTask.index();
        State dequeued = TaskEnqueuer.dequeue(state, shard, jobTask.job(), queueIndex);
        ShardTasks remaining = TaskEnqueuer.shardJobs(dequeued, shard).tasksOf(jobTask.job());
        PlacedTask placed = new PlacedTask(task.spec().id(), jobTask.attempt(), state.nowMillis());
        ShardTasks updatedTasks =
                remaining
                        .withPlaced(remaining.placed().plus(jobTask.index(), placed))
                        .withUnqueued(remaining.unqueued().minus(jobTask.index()));
        ShardJobs updatedJobs =
                TaskEnqueuer.shardJobs(dequeued, shard).withTasks(jobTask.job(), updatedTasks);
        boolean needsRefill =
                updatedTasks.queued().size() < TaskEnqueuer.MAX_QUEUED_PER_JOB / 2
                        && !updatedTasks.unqueued().isEmpty();
        State updated =
                TaskEnqueuer.withShardJobs(
                        dequeued,
                        shard,
                        needsRefill
                                ? updatedJobs.markForRefill(
                                        state.jobs().bySubmissionTime(jobTask.job()))
                                : updatedJobs);
        Optional<JobRecord> projected = state.jobs().projectedRecord(jobTask.job());
        boolean isObsolete =
                projected.isPresent()
                        && (projected.get().state().isFinal()
                                || (projected.get().kind() == WorkKind.BATCH
                                        && projected.get().succeeded().contains(jobTask.index())));
        return isObsolete
                ? JobCleanup.stopTask(
                                updated,
                                shard,
                                task.spec().id(),
                                "job ended or task already succeeded")
                        .then(
                                s ->
                                        JobCleanup.schedule(
                                                s,
                                                shard,
                                                jobTask.job(),
                                                s.nowMillis() + JobCleanup.STOP_RETRY_MILLIS))
                : Transition.of(updated);
    }
}
