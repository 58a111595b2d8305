package org.jujubefork.core.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.jobs.Jobs;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerReport;
import org.jujubefork.core.requests.AttemptReporter;

/** Reconciles the owner's record of a worker's tasks with what the worker reports. */
final class ReportReconciler {
    private ReportReconciler() {}

    /**
     * Applies the report of a granted lease; {@code before} is the worker as it was before the
     * report.
     */
    static Transition reconcile(
            State state, ShardId shard, WorkerState before, FleetEvent.LeaseGranted event) {
        WorkerReport report = event.report();
        WorkerId worker = event.worker();
        boolean hasRestarted =
                before.incarnation() != 0 && before.incarnation() != report.incarnation();
        Transition result = Transition.of(state);
        for (ReportedTask task : report.running()) {
            result = result.then(s -> reconcileRunning(s, shard, worker, task));
        }
        for (EndedTask task : report.ended()) {
            result = result.then(s -> reconcileEnded(s, shard, worker, task));
        }
        if (hasRestarted) {
            return result.then(s -> loseUnreportedTasks(s, shard, worker, report, Long.MAX_VALUE));
        }
        return result.then(s -> loseUnreportedTasks(s, shard, worker, report, event.sentAtMillis()))
                .then(s -> stopUnconfirmed(s, shard, worker));
    }

    /**
     * Marks all tasks of a worker whose lease has expired as lost, so that they can run elsewhere.
     */
    static Transition loseAllTasks(State state, ShardId shard, WorkerId worker) {
        Transition result = Transition.of(state);
        for (TaskId task : state.shards().get(shard).workers().get(worker).tasks()) {
            result = result.then(s -> loseTask(s, shard, task));
        }
        return result;
    }

    private static Transition reconcileRunning(
            State state, ShardId shard, WorkerId worker, ReportedTask task) {
        ShardState owned = state.shards().get(shard);
        Optional<RunningTask> recorded = owned.task(task.spec().id());
        if (recorded.isPresent()) {
            RunningTask updated =
                    recorded.get().withReport(task.usage(), task.progress(), state.nowMillis());
            return Transition.of(state.withShard(recordPeakGrowth(owned, updated).update(updated)));
        }
        Resources learned =
                owned.schedulerState().learnedSize(task.spec().queue(), task.spec().size());
        RunningTask adopted =
                RunningTask.starting(
                                task.spec(), worker, state.nowMillis(), Optional.empty(), learned)
                        .withReport(task.usage(), task.progress(), state.nowMillis());
        return Jobs.taskPlaced(state.withShard(owned.place(adopted)), shard, adopted);
    }

    /**
     * Records usage above the learned size at once, so that a learned size that is too small is
     * corrected before the tasks end. Usage below the learned size is recorded only when the task
     * ends, because the usage may still grow.
     */
    private static ShardState recordPeakGrowth(ShardState shard, RunningTask task) {
        Resources expected =
                shard.schedulerState().learnedSize(task.spec().queue(), task.spec().size());
        RunningTask before = shard.tasks().get(task.spec().id());
        boolean exceedsLearnedSize =
                !task.peak().fitsIn(expected) && !task.peak().equals(before.peak());
        return exceedsLearnedSize && !task.spec().kind().isRequest()
                ? recordPeak(shard, task)
                : shard;
    }

    /** Records the peak usage of {@code task}, limited to the capacity of its worker. */
    private static ShardState recordPeak(ShardState shard, RunningTask task) {
        Resources peak = task.peak().min(shard.workers().get(task.worker()).capacity());
        return shard.withSchedulerState(
                shard.schedulerState().withPeak(task.spec().queue(), peak, task.spec().size()));
    }

    private static Transition reconcileEnded(
            State state, ShardId shard, WorkerId worker, EndedTask task) {
        ShardState owned = state.shards().get(shard);
        Optional<RunningTask> recorded = owned.task(task.spec().id());
        if (task.spec().kind().isRequest()) {
            // The connection that started a request reports its completion with the answer. Only
            // requests that another owner started, or whose connection was lost, are completed by
            // the worker's report.
            boolean isAnswerPending =
                    recorded.isPresent()
                            && recorded.get().origin().isPresent()
                            && recorded.get().phase() != TaskPhase.UNCONFIRMED;
            State released =
                    isAnswerPending ? state : state.withShard(owned.release(task.spec().id()));
            return Transition.of(Workers.acknowledge(released, worker, task.spec().id()));
        }
        State released = state.withShard(applyOutcome(state, owned, recorded, task));
        return Jobs.taskEnded(released, shard, worker, task);
    }

    /**
     * Returns {@code shard} without the completed task, with the health of its worker and the
     * learned size of its queue updated.
     */
    private static ShardState applyOutcome(
            State state, ShardState shard, Optional<RunningTask> recorded, EndedTask ended) {
        if (recorded.isEmpty()) {
            return shard;
        }
        RunningTask task = recorded.get();
        ShardState result = shard;
        if (ended.reason() == EndReason.SUCCEEDED) {
            result = TaskOutcomes.recordSuccess(result, task, state.nowMillis());
        } else if (ended.reason() == EndReason.FAILED) {
            result = TaskOutcomes.recordFailure(state, result, task);
        }
        return (task.peak().isZero() ? result : recordPeak(result, task)).release(task.spec().id());
    }

    /**
     * Marks tasks that the report does not list as lost if the worker had confirmed their start
     * before {@code confirmedBeforeMillis}. Requests whose answer is pending are not lost, because
     * their connection reports their completion. If {@code confirmedBeforeMillis} is {@code
     * Long.MAX_VALUE}, the worker was restarted, and all unlisted tasks are lost.
     */
    private static Transition loseUnreportedTasks(
            State state,
            ShardId shard,
            WorkerId worker,
            WorkerReport report,
            long confirmedBeforeMillis) {
        Set<TaskId> reportedIds = new HashSet<>();
        report.running().forEach(t -> reportedIds.add(t.spec().id()));
        ShardState owned = state.shards().get(shard);
        Transition result = Transition.of(state);
        for (TaskId id : owned.workers().get(worker).tasks()) {
            RunningTask task = owned.tasks().get(id);
            boolean isStartConfirmed =
                    task.phase() == TaskPhase.RUNNING || task.phase() == TaskPhase.STOPPING;
            boolean isAnswerPending =
                    task.origin().isPresent() && confirmedBeforeMillis != Long.MAX_VALUE;
            boolean wasConfirmedEarlier = task.confirmedAtMillis() < confirmedBeforeMillis;
            boolean isLost =
                    confirmedBeforeMillis == Long.MAX_VALUE
                            || (isStartConfirmed && wasConfirmedEarlier && !isAnswerPending);
            if (!reportedIds.contains(id) && isLost) {
                result = result.then(s -> loseTask(s, shard, id));
            }
        }
        return result;
    }

    private static Transition loseTask(State state, ShardId shard, TaskId id) {
        ShardState owned = state.shards().get(shard);
        RunningTask task = owned.tasks().get(id);
        State released = state.withShard(owned.release(id));
        if (task.spec().jobTask().isPresent()) {
            return Jobs.taskLost(released, shard, task);
        }
        boolean isAnswerPending =
                task.origin().isPresent() && task.phase() != TaskPhase.UNCONFIRMED;
        return isAnswerPending
                ? AttemptReporter.report(
                        released,
                        task.origin().get(),
                        AttemptResult.unknown(RefusalReason.WORKER_CONNECTION_LOST))
                : Transition.of(released);
    }

    /**
     * Emits stop commands for tasks whose start is unconfirmed; a confirmed stop frees their
     * capacity.
     */
    private static Transition stopUnconfirmed(State state, ShardId shard, WorkerId worker) {
        ShardState owned = state.shards().get(shard);
        WorkerState workerState = owned.workers().get(worker);
        Transition result = Transition.of(state);
        for (TaskId id : workerState.tasks()) {
            if (owned.tasks().get(id).phase() == TaskPhase.UNCONFIRMED) {
                result =
                        result.with(
                                new WorkerEffect.StopTask(
                                        worker,
                                        workerState.listing().address(),
                                        owned.epoch(),
                                        id,
                                        StopMode.STOP));
            }
        }
        return result;
    }
}
