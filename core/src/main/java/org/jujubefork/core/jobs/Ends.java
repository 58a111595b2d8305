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
final class Ends {
    /** First delay before a failed task is queued again; it doubles with each failure. */
    static final long FIRST_DELAY_MILLIS = 1_000;

    /** Longest delay before a replica of a service is started again. */
    static final long MAX_DELAY_MILLIS = 60_000;

    /** Run time below which the end of a replica counts as a quick failure. */
    static final long QUICK_MILLIS = 60_000;

    private static final int MAX_DOUBLINGS = 6;

    private Ends() {}

    static Transition ended(State state, ShardId shard, WorkerId worker, EndedTask task) {
        JobTask what = task.spec().job().orElseThrow();
        TaskId id = task.spec().id();
        Optional<PlacedTask> current = JobQueue.placed(state, shard, what.job(), what.index(), id);
        State freed = current.isPresent() ? unplace(state, shard, what) : state;
        PendingEnd end =
                new PendingEnd(
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
        PartState part = JobQueue.shardJobs(state, shard).part(what.job());
        return JobQueue.withPart(
                state, shard, what.job(), part.withPlaced(part.placed().minus(what.index())));
    }

    private static Transition replicaEnded(
            State state,
            ShardId shard,
            JobTask what,
            PendingEnd end,
            Optional<PlacedTask> current) {
        State acknowledged = Workers.acknowledge(state, end.worker().orElseThrow(), end.task());
        if (current.isEmpty()) {
            return Transition.of(acknowledged);
        }
        boolean byItself = end.reason() == EndReason.FAILED || end.reason() == EndReason.SUCCEEDED;
        long ran = state.nowMillis() - current.get().placedAtMillis();
        return Transition.of(
                byItself && ran < QUICK_MILLIS
                        ? delayReplica(acknowledged, shard, what)
                        : JobQueue.again(
                                forgetFailures(acknowledged, shard, what),
                                shard,
                                what.job(),
                                what.index()));
    }

    private static State delayReplica(State state, ShardId shard, JobTask what) {
        PartState part = JobQueue.shardJobs(state, shard).part(what.job());
        PSortedMap<Integer, Integer> failures = part.quickFailures();
        int count = failures.containsKey(what.index()) ? failures.get(what.index()) : 0;
        State counted =
                JobQueue.withPart(
                        state,
                        shard,
                        what.job(),
                        part.withQuickFailures(failures.plus(what.index(), count + 1)));
        return JobQueue.delay(counted, shard, what.job(), what.index(), delayAfter(count));
    }

    private static State forgetFailures(State state, ShardId shard, JobTask what) {
        PartState part = JobQueue.shardJobs(state, shard).part(what.job());
        return JobQueue.withPart(
                state,
                shard,
                what.job(),
                part.withQuickFailures(part.quickFailures().minus(what.index())));
    }

    private static long delayAfter(int failuresBefore) {
        long doubled = FIRST_DELAY_MILLIS << Math.min(failuresBefore, MAX_DOUBLINGS);
        return Math.min(MAX_DELAY_MILLIS, doubled);
    }

    private static Transition gangTaskEnded(
            State state, ShardId shard, JobTask what, PendingEnd end, boolean current) {
        PartState part = JobQueue.shardJobs(state, shard).part(what.job());
        if (!current && part.startedRun() >= end.attempt()) {
            // The run was started again by this owner after it had given up this task.
            return Transition.of(
                    Workers.acknowledge(state, end.worker().orElseThrow(), end.task()));
        }
        return JobWrites.addEnd(state, what.job(), end)
                .then(s -> Transition.of(JobQueue.refilling(s, shard, what.job())));
    }

    private static Transition batchTaskEnded(
            State state, ShardId shard, JobTask what, PendingEnd end, boolean current) {
        JobId job = what.job();
        Transition noted =
                Progress.isRecorded(WorkKind.BATCH, end.reason())
                        ? JobWrites.addEnd(state, job, end)
                        : Transition.of(
                                Workers.acknowledge(state, end.worker().orElseThrow(), end.task()));
        if (end.reason() == EndReason.SUCCEEDED) {
            return noted.then(s -> withdraw(s, shard, what));
        }
        if (!current) {
            return noted;
        }
        return noted.then(
                s ->
                        Transition.of(
                                end.reason() == EndReason.FAILED
                                        ? JobQueue.delay(
                                                s,
                                                shard,
                                                job,
                                                what.index(),
                                                delayAfter(what.attempt() - 1))
                                        : JobQueue.again(s, shard, job, what.index())));
    }

    /** Withdraws another attempt of a task that succeeded. */
    private static Transition withdraw(State state, ShardId shard, JobTask what) {
        State cleared = JobQueue.unqueue(state, shard, what.job(), what.index());
        PlacedTask other =
                JobQueue.shardJobs(cleared, shard).part(what.job()).placed().get(what.index());
        return other == null
                ? Transition.of(cleared)
                : Closing.stop(cleared, shard, other.task(), "another attempt succeeded");
    }

    static Transition lost(State state, ShardId shard, RunningTask task) {
        JobTask what = task.spec().job().orElseThrow();
        TaskId id = task.spec().id();
        if (JobQueue.placed(state, shard, what.job(), what.index(), id).isEmpty()) {
            return Transition.of(state);
        }
        State freed = unplace(state, shard, what);
        if (task.spec().kind() != WorkKind.GANG) {
            return Transition.of(JobQueue.again(freed, shard, what.job(), what.index()));
        }
        PendingEnd end =
                new PendingEnd(
                        Optional.empty(),
                        id,
                        what.index(),
                        what.attempt(),
                        EndReason.LEASE_EXPIRED,
                        "",
                        0);
        return JobWrites.addEnd(freed, what.job(), end)
                .then(s -> Transition.of(JobQueue.refilling(s, shard, what.job())));
    }

    static Transition refused(State state, ShardId shard, RunningTask task) {
        JobTask what = task.spec().job().orElseThrow();
        TaskId id = task.spec().id();
        if (JobQueue.placed(state, shard, what.job(), what.index(), id).isEmpty()) {
            return Transition.of(state);
        }
        State freed = unplace(state, shard, what);
        return Transition.of(
                task.spec().kind() == WorkKind.GANG
                        ? JobQueue.refilling(freed, shard, what.job())
                        : JobQueue.again(freed, shard, what.job(), what.index()));
    }

    static Transition placed(State state, ShardId shard, RunningTask task) {
        JobTask what = task.spec().job().orElseThrow();
        ShardJobs jobs = JobQueue.shardJobs(state, shard);
        PartState part = jobs.part(what.job());
        PlacedTask other = part.placed().get(what.index());
        if (other != null && !other.task().equals(task.spec().id())) {
            return Closing.stop(
                    state, shard, task.spec().id(), "already placed as " + other.task());
        }
        // A task that is found on a worker may wait in the queue at the same time.
        int queuedAs = task.spec().kind() == WorkKind.GANG ? 0 : what.index();
        State taken = JobQueue.unqueue(state, shard, what.job(), queuedAs);
        PartState left = JobQueue.shardJobs(taken, shard).part(what.job());
        PlacedTask placed = new PlacedTask(task.spec().id(), what.attempt(), state.nowMillis());
        PartState after =
                left.withPlaced(left.placed().plus(what.index(), placed))
                        .withTodo(left.todo().minus(what.index()));
        ShardJobs known = JobQueue.shardJobs(taken, shard).with(what.job(), after);
        boolean low = after.queued().size() < JobQueue.WINDOW / 2 && !after.todo().isEmpty();
        State noted =
                JobQueue.withShardJobs(
                        taken,
                        shard,
                        low ? known.refilling(state.jobs().submitted(what.job())) : known);
        Optional<JobRecord> view = state.jobs().view(what.job());
        boolean unwanted =
                view.isPresent()
                        && (view.get().state().isFinal()
                                || (view.get().kind() == WorkKind.BATCH
                                        && view.get().succeeded().contains(what.index())));
        return unwanted
                ? Closing.stop(noted, shard, task.spec().id(), "no longer wanted")
                        .then(
                                s ->
                                        Closing.add(
                                                s,
                                                shard,
                                                what.job(),
                                                s.nowMillis() + Closing.STOP_AGAIN_MILLIS))
                : Transition.of(noted);
    }
}
