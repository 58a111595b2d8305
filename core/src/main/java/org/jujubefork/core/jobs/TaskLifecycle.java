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

/** Decides what follows from the end of a task of a job. */
final class TaskLifecycle {
    /** First delay before a failed task is queued again; it doubles with each failure. */
    static final long INITIAL_RETRY_DELAY_MILLIS = 1_000;

    /** Longest delay before a replica of a service is started again. */
    static final long MAX_RETRY_DELAY_MILLIS = 60_000;

    /** Run time below which the end of a replica counts as a quick failure. */
    static final long MIN_HEALTHY_RUN_MILLIS = 60_000;

    private static final int MAX_DOUBLINGS = 6;

    private TaskLifecycle() {}

    static Transition taskEnded(State state, ShardId shard, WorkerId worker, EndedTask task) {
        JobTask what = task.spec().job().orElseThrow();
        TaskId id = task.spec().id();
        Optional<PlacedTask> current =
                TaskEnqueuer.findPlaced(state, shard, what.job(), what.index(), id);
        State freed = current.isPresent() ? unplace(state, shard, what) : state;
        PendingCompletion end =
                new PendingCompletion(
                        Optional.of(worker),
                        id,
                        what.index(),
                        what.attempt(),
                        task.reason(),
                        task.message(),
                        task.progress());
        return switch (task.spec().kind()) {
            case SERVICE -> replicaEnded(freed, shard, what, end, current);
            case GANG -> gangTaskEnded(freed, shard, what, end, current.isPresent());
            default -> batchTaskEnded(freed, shard, what, end, current.isPresent());
        };
    }

    private static State unplace(State state, ShardId shard, JobTask what) {
        ShardTasks part = TaskEnqueuer.shardJobs(state, shard).tasksOf(what.job());
        return TaskEnqueuer.withTasks(
                state, shard, what.job(), part.withPlaced(part.placed().minus(what.index())));
    }

    private static Transition replicaEnded(
            State state,
            ShardId shard,
            JobTask what,
            PendingCompletion end,
            Optional<PlacedTask> current) {
        State acknowledged = Workers.acknowledge(state, end.worker().orElseThrow(), end.task());
        if (current.isEmpty()) {
            return Transition.of(acknowledged);
        }
        boolean byItself = end.reason() == EndReason.FAILED || end.reason() == EndReason.SUCCEEDED;
        long ran = state.nowMillis() - current.get().placedAtMillis();
        return Transition.of(
                byItself && ran < MIN_HEALTHY_RUN_MILLIS
                        ? delayReplica(acknowledged, shard, what)
                        : TaskEnqueuer.requeue(
                                resetQuickFailures(acknowledged, shard, what),
                                shard,
                                what.job(),
                                what.index()));
    }

    private static State delayReplica(State state, ShardId shard, JobTask what) {
        ShardTasks part = TaskEnqueuer.shardJobs(state, shard).tasksOf(what.job());
        PSortedMap<Integer, Integer> failures = part.quickFailures();
        int count = failures.containsKey(what.index()) ? failures.get(what.index()) : 0;
        State counted =
                TaskEnqueuer.withTasks(
                        state,
                        shard,
                        what.job(),
                        part.withQuickFailures(failures.plus(what.index(), count + 1)));
        return TaskEnqueuer.requeueAfter(
                counted, shard, what.job(), what.index(), retryDelayMillis(count));
    }

    private static State resetQuickFailures(State state, ShardId shard, JobTask what) {
        ShardTasks part = TaskEnqueuer.shardJobs(state, shard).tasksOf(what.job());
        return TaskEnqueuer.withTasks(
                state,
                shard,
                what.job(),
                part.withQuickFailures(part.quickFailures().minus(what.index())));
    }

    private static long retryDelayMillis(int failuresBefore) {
        long doubled = INITIAL_RETRY_DELAY_MILLIS << Math.min(failuresBefore, MAX_DOUBLINGS);
        return Math.min(MAX_RETRY_DELAY_MILLIS, doubled);
    }

    private static Transition gangTaskEnded(
            State state, ShardId shard, JobTask what, PendingCompletion end, boolean current) {
        ShardTasks part = TaskEnqueuer.shardJobs(state, shard).tasksOf(what.job());
        if (!current && part.lastQueuedRun() >= end.attempt()) {
            // The run was started again by this owner after it had given up this task.
            return Transition.of(
                    Workers.acknowledge(state, end.worker().orElseThrow(), end.task()));
        }
        return JobRecordWriter.addCompletion(state, what.job(), end)
                .then(s -> Transition.of(TaskEnqueuer.markForRefill(s, shard, what.job())));
    }

    private static Transition batchTaskEnded(
            State state, ShardId shard, JobTask what, PendingCompletion end, boolean current) {
        JobId job = what.job();
        Transition noted =
                CompletionMerger.mustBeRecorded(WorkKind.BATCH, end.reason())
                        ? JobRecordWriter.addCompletion(state, job, end)
                        : Transition.of(
                                Workers.acknowledge(state, end.worker().orElseThrow(), end.task()));
        if (end.reason() == EndReason.SUCCEEDED) {
            return noted.then(s -> cancelOtherAttempt(s, shard, what));
        }
        if (!current) {
            return noted;
        }
        return noted.then(
                s ->
                        Transition.of(
                                end.reason() == EndReason.FAILED
                                        ? TaskEnqueuer.requeueAfter(
                                                s,
                                                shard,
                                                job,
                                                what.index(),
                                                retryDelayMillis(what.attempt() - 1))
                                        : TaskEnqueuer.requeue(s, shard, job, what.index())));
    }

    /** Withdraws another attempt of a task that succeeded. */
    private static Transition cancelOtherAttempt(State state, ShardId shard, JobTask what) {
        State cleared = TaskEnqueuer.dequeue(state, shard, what.job(), what.index());
        PlacedTask other =
                TaskEnqueuer.shardJobs(cleared, shard)
                        .tasksOf(what.job())
                        .placed()
                        .get(what.index());
        return other == null
                ? Transition.of(cleared)
                : JobCleanup.stopTask(cleared, shard, other.task(), "another attempt succeeded");
    }

    static Transition taskLost(State state, ShardId shard, RunningTask task) {
        JobTask what = task.spec().job().orElseThrow();
        TaskId id = task.spec().id();
        if (TaskEnqueuer.findPlaced(state, shard, what.job(), what.index(), id).isEmpty()) {
            return Transition.of(state);
        }
        State freed = unplace(state, shard, what);
        if (task.spec().kind() != WorkKind.GANG) {
            return Transition.of(TaskEnqueuer.requeue(freed, shard, what.job(), what.index()));
        }
        PendingCompletion end =
                new PendingCompletion(
                        Optional.empty(),
                        id,
                        what.index(),
                        what.attempt(),
                        EndReason.LEASE_EXPIRED,
                        "",
                        0);
        return JobRecordWriter.addCompletion(freed, what.job(), end)
                .then(s -> Transition.of(TaskEnqueuer.markForRefill(s, shard, what.job())));
    }

    static Transition startRefused(State state, ShardId shard, RunningTask task) {
        JobTask what = task.spec().job().orElseThrow();
        TaskId id = task.spec().id();
        if (TaskEnqueuer.findPlaced(state, shard, what.job(), what.index(), id).isEmpty()) {
            return Transition.of(state);
        }
        State freed = unplace(state, shard, what);
        return Transition.of(
                task.spec().kind() == WorkKind.GANG
                        ? TaskEnqueuer.markForRefill(freed, shard, what.job())
                        : TaskEnqueuer.requeue(freed, shard, what.job(), what.index()));
    }

    static Transition taskPlaced(State state, ShardId shard, RunningTask task) {
        JobTask what = task.spec().job().orElseThrow();
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        ShardTasks part = jobs.tasksOf(what.job());
        PlacedTask other = part.placed().get(what.index());
        if (other != null && !other.task().equals(task.spec().id())) {
            return JobCleanup.stopTask(
                    state, shard, task.spec().id(), "already placed as " + other.task());
        }
        // A task that is found on a worker may wait in the queue at the same time.
        int queuedAs = task.spec().kind() == WorkKind.GANG ? 0 : what.index();
        State taken = TaskEnqueuer.dequeue(state, shard, what.job(), queuedAs);
        ShardTasks left = TaskEnqueuer.shardJobs(taken, shard).tasksOf(what.job());
        PlacedTask placed = new PlacedTask(task.spec().id(), what.attempt(), state.nowMillis());
        ShardTasks after =
                left.withPlaced(left.placed().plus(what.index(), placed))
                        .withUnqueued(left.unqueued().minus(what.index()));
        ShardJobs known = TaskEnqueuer.shardJobs(taken, shard).withTasks(what.job(), after);
        boolean low =
                after.queued().size() < TaskEnqueuer.MAX_QUEUED_PER_JOB / 2
                        && !after.unqueued().isEmpty();
        State noted =
                TaskEnqueuer.withShardJobs(
                        taken,
                        shard,
                        low
                                ? known.markForRefill(state.jobs().bySubmissionTime(what.job()))
                                : known);
        Optional<JobRecord> view = state.jobs().projectedRecord(what.job());
        boolean unwanted =
                view.isPresent()
                        && (view.get().state().isFinal()
                                || (view.get().kind() == WorkKind.BATCH
                                        && view.get().succeeded().contains(what.index())));
        return unwanted
                ? JobCleanup.stopTask(noted, shard, task.spec().id(), "no longer wanted")
                        .then(
                                s ->
                                        JobCleanup.schedule(
                                                s,
                                                shard,
                                                what.job(),
                                                s.nowMillis() + JobCleanup.STOP_RETRY_MILLIS))
                : Transition.of(noted);
    }
}
