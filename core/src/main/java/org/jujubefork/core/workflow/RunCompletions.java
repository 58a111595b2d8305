package org.jujubefork.core.workflow;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;

/** Applies the completions of runs to their tasks and jobs. */
final class RunCompletions {
    private RunCompletions() {}

    /** Processes a completion that {@code worker} reported. */
    static WorkflowTransition completed(WorkflowState state, String worker, EndedRun endedRun) {
        return DurationSamples.sample(state, worker, endedRun)
                .then(s -> ended(s, worker, endedRun));
    }

    private static WorkflowTransition ended(WorkflowState state, String worker, EndedRun endedRun) {
        WorkflowState next = releaseCharge(state, worker, endedRun.task(), endedRun.runNumber());
        next = withHealth(next, worker, endedRun.outcome());
        Job job = next.jobs().get(endedRun.task().job());
        if (job == null || !job.hasTask(endedRun.task())) {
            return WorkflowTransition.of(next);
        }
        Task task = job.task(endedRun.task());
        if (!job.isActive() || task.phase() == Task.Phase.DONE) {
            return WorkflowTransition.of(next);
        }
        if (endedRun.runNumber() < task.runNumber()) {
            // A newer run was started already, but the failure of the older one still counts.
            return endedRun.outcome() == RunOutcome.FAILED
                    ? failed(next, job, endedRun, worker)
                    : WorkflowTransition.of(next);
        }
        WorkflowTransition result =
                switch (endedRun.outcome()) {
                    case DONE -> WorkflowTransition.of(done(next, job, endedRun));
                    case FAILED -> failed(next, job, endedRun, worker);
                    case STOPPED, LAPSED, BROKEN, ALONE -> interrupted(next, job, endedRun);
                };
        return result.with(
                WorkflowEffect.LogEvent.of(
                        "task-ended",
                        endedRun.task(),
                        "run",
                        endedRun.runNumber(),
                        "worker",
                        worker,
                        "how",
                        endedRun.outcome(),
                        "number",
                        endedRun.sequence()));
    }

    /** Sets the task back to waiting after its run has ended without a reported completion. */
    static WorkflowState runLost(WorkflowState state, TaskKey key, long runNumber) {
        return withNewestRun(state, key, runNumber, Task::afterLostRun);
    }

    /** Sets the task back to waiting after its run was certainly not started. */
    static WorkflowState runNotStarted(WorkflowState state, TaskKey key, long runNumber) {
        return withNewestRun(state, key, runNumber, Task::withoutStart);
    }

    private static WorkflowState withNewestRun(
            WorkflowState state, TaskKey key, long runNumber, UnaryOperator<Task> change) {
        Job job = state.jobs().get(key.job());
        if (job == null || !job.hasTask(key)) {
            return state;
        }
        Task task = job.task(key);
        boolean isNewestRun = task.runNumber() == runNumber && task.phase() != Task.Phase.DONE;
        return isNewestRun
                ? state.with(job.with(key, change.apply(task))).withPlacementDue(true)
                : state;
    }

    static WorkflowState releaseCharge(
            WorkflowState state, String worker, TaskKey key, long runNumber) {
        WorkerNode node = state.workers().get(worker);
        if (node == null) {
            return state;
        }
        WorkerNode.Charge charge = node.charges().get(key);
        return charge != null && charge.runNumber() <= runNumber
                ? state.with(node.withoutCharge(key)).withPlacementDue(true)
                : state;
    }

    private static WorkflowState withHealth(
            WorkflowState state, String worker, RunOutcome outcome) {
        WorkerNode node = state.workers().get(worker);
        if (node == null || (outcome != RunOutcome.DONE && outcome != RunOutcome.FAILED)) {
            return state;
        }
        if (outcome == RunOutcome.DONE) {
            return state.with(
                    node.with(new WorkerNode.Health(0, node.health().quarantinedUntil())));
        }
        int failureCount = node.health().consecutiveFailures() + 1;
        return state.with(
                node.with(
                        failureCount >= WorkflowLimits.QUARANTINE_FAILURE_COUNT
                                ? new WorkerNode.Health(
                                        0, state.now() + WorkflowLimits.QUARANTINE_MILLIS)
                                : new WorkerNode.Health(
                                        failureCount, node.health().quarantinedUntil())));
    }

    private static WorkflowState done(WorkflowState state, Job job, EndedRun endedRun) {
        StepKey step = endedRun.task().stepKey();
        if (job.step(step).service()) {
            Task task = job.task(endedRun.task());
            return state.with(job.with(endedRun.task(), task.asWaiting(FailedRuns.NONE, "")));
        }
        Job updatedJob = job.with(endedRun.task(), job.task(endedRun.task()).asDone());
        if (job.step(step).gang()) {
            // The completion of one member completes the whole gang. The capacity of each other
            // member stays charged until its worker reports the completion; stopping a member
            // before that would discard its work.
            for (int i = 0; i < job.step(step).taskCount(); i++) {
                TaskKey member = step.task(i);
                updatedJob = updatedJob.with(member, updatedJob.task(member).asDone());
            }
        }
        if (updatedJob.isComplete()) {
            updatedJob = updatedJob.withStatus(Job.Status.DONE);
        }
        return state.with(updatedJob).withDirtyJob(job.id()).withPlacementDue(true);
    }

    private static WorkflowTransition failed(
            WorkflowState state, Job job, EndedRun endedRun, String worker) {
        StepKey step = endedRun.task().stepKey();
        StepDefinition definition = job.step(step);
        Task task = job.task(endedRun.task());
        // Tasks of services are restarted regardless of how often they fail.
        FailedRuns taskFailures =
                definition.service()
                        ? FailedRuns.NONE
                        : task.failedRuns().withRun(endedRun.runNumber());
        boolean isNewestRun = endedRun.runNumber() >= task.runNumber();
        Job updatedJob =
                job.with(
                        endedRun.task(),
                        isNewestRun
                                ? task.asWaiting(taskFailures, endedRun.checkpoint())
                                : task.withFailedRuns(taskFailures));
        if (definition.gang()) {
            StepProgress progress = updatedJob.progress(step);
            FailedRuns gangFailures = progress.gangFailedRuns().withRun(endedRun.runNumber());
            updatedJob = updatedJob.with(step, progress.withGangFailedRuns(gangFailures));
        }
        Optional<CellConfiguration.Queue> queue = state.queueOf(job);
        if (queue.isPresent() && AttemptLimit.isReached(updatedJob, endedRun.task(), queue.get())) {
            return AttemptLimit.fail(state, updatedJob, endedRun.task(), queue.get(), worker);
        }
        WorkflowState next = state.with(updatedJob).withDirtyJob(job.id()).withPlacementDue(true);
        return definition.gang()
                ? WorkerCommands.abortGang(next, step, endedRun.runNumber())
                : WorkflowTransition.of(next);
    }

    private static WorkflowTransition interrupted(WorkflowState state, Job job, EndedRun endedRun) {
        Task task = job.task(endedRun.task());
        Job updatedJob =
                job.with(endedRun.task(), task.asWaiting(task.failedRuns(), endedRun.checkpoint()));
        WorkflowState next = state.with(updatedJob).withPlacementDue(true);
        return job.step(endedRun.task().stepKey()).gang()
                ? WorkerCommands.abortGang(next, endedRun.task().stepKey(), endedRun.runNumber())
                : WorkflowTransition.of(next);
    }
}
