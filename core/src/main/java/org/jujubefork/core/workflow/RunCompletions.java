package org.jujubefork.core.workflow;

import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;

/** What the end of a run means for its task and job. */
final class RunCompletions {
    private RunCompletions() {}

    /** Takes in an end that {@code worker} lists. */
    static WorkflowTransition ended(WorkflowState state, String worker, EndedRun end) {
        WorkflowState released = release(state, worker, end.task(), end.run());
        released = withHealth(released, worker, end.how());
        Job job = released.jobs().get(end.task().job());
        if (job == null || !job.hasTask(end.task())) {
            return WorkflowTransition.of(released);
        }
        Task task = job.task(end.task());
        if (!job.isActive() || task.phase() == Task.Phase.DONE) {
            return WorkflowTransition.of(released);
        }
        if (end.run() < task.run()) {
            // A newer run has been started; a failure of the older one still counts.
            return end.how() == RunOutcome.FAILED
                    ? failed(released, job, end, worker)
                    : WorkflowTransition.of(released);
        }
        WorkflowTransition result =
                switch (end.how()) {
                    case DONE -> WorkflowTransition.of(done(released, job, end));
                    case FAILED -> failed(released, job, end, worker);
                    case STOPPED, LAPSED, BROKEN, ALONE -> interrupted(released, job, end);
                };
        return result.with(
                WorkflowEffect.LogEvent.of(
                        "task-ended",
                        end.task(),
                        "run",
                        end.run(),
                        "worker",
                        worker,
                        "how",
                        end.how(),
                        "number",
                        end.number()));
    }

    /** A run has ended without success and without an end being listed. */
    static WorkflowState lost(WorkflowState state, TaskKey key, long run) {
        Job job = state.jobs().get(key.job());
        if (job == null || !job.hasTask(key)) {
            return state;
        }
        Task task = job.task(key);
        boolean current = task.run() == run && task.phase() != Task.Phase.DONE;
        return current
                ? state.with(job.with(key, task.waiting(task.failures(), "")))
                        .withPlacementDue(true)
                : state;
    }

    static WorkflowState release(WorkflowState state, String worker, TaskKey key, long run) {
        WorkerNode node = state.workers().get(worker);
        if (node == null) {
            return state;
        }
        WorkerNode.Charge charge = node.charges().get(key);
        return charge != null && charge.run() <= run
                ? state.with(node.release(key)).withPlacementDue(true)
                : state;
    }

    private static WorkflowState withHealth(WorkflowState state, String worker, RunOutcome how) {
        WorkerNode node = state.workers().get(worker);
        if (node == null || (how != RunOutcome.DONE && how != RunOutcome.FAILED)) {
            return state;
        }
        if (how == RunOutcome.DONE) {
            return state.with(node.with(new WorkerNode.Health(0, node.health().avoidUntil())));
        }
        int failed = node.health().failedInRow() + 1;
        return state.with(
                node.with(
                        failed >= WorkflowLimits.FAILURES_TO_AVOID
                                ? new WorkerNode.Health(
                                        0, state.now() + WorkflowLimits.AVOID_MILLIS)
                                : new WorkerNode.Health(failed, node.health().avoidUntil())));
    }

    private static WorkflowState done(WorkflowState state, Job job, EndedRun end) {
        StepKey step = end.task().stepKey();
        if (job.step(step).service()) {
            Task task = job.task(end.task());
            return state.with(job.with(end.task(), task.waiting(FailedRuns.NONE, "")));
        }
        Job changed = job.with(end.task(), job.task(end.task()).done());
        if (job.step(step).gang()) {
            // One end represents all members of the gang. The room of the others stays charged
            // until their workers list their ends; a stop in that time would waste their work.
            for (int i = 0; i < job.step(step).count(); i++) {
                TaskKey member = step.task(i);
                changed = changed.with(member, changed.task(member).done());
            }
        }
        if (changed.isComplete()) {
            changed = changed.withStatus(Job.Status.DONE);
        }
        return state.with(changed).dirty(job.id()).withPlacementDue(true);
    }

    private static WorkflowTransition failed(
            WorkflowState state, Job job, EndedRun end, String worker) {
        StepKey step = end.task().stepKey();
        StepDefinition definition = job.step(step);
        Task task = job.task(end.task());
        // Tasks of services are started again however often they fail.
        FailedRuns own = definition.service() ? FailedRuns.NONE : task.failures().plus(end.run());
        boolean newest = end.run() >= task.run();
        Job changed =
                job.with(
                        end.task(),
                        newest ? task.waiting(own, end.checkpoint()) : task.withFailures(own));
        int failures = own.count();
        if (definition.gang()) {
            StepProgress run = changed.run(step);
            FailedRuns ofGang = run.gangFailures().plus(end.run());
            changed = changed.with(step, run.withGangFailures(ofGang));
            failures = ofGang.count();
        }
        int attempts = state.queueOf(job).map(CellConfiguration.Queue::attempts).orElse(0);
        boolean over = attempts > 0 && failures >= attempts && !definition.service();
        if (over) {
            WorkflowState next = state.with(changed.withStatus(Job.Status.FAILED)).dirty(job.id());
            return CallHandler.stopAll(next, job.id())
                    .with(
                            WorkflowEffect.LogEvent.of(
                                    "job-failed",
                                    job.id(),
                                    "task",
                                    end.task(),
                                    "failures",
                                    failures,
                                    "attempts",
                                    attempts,
                                    "worker",
                                    worker));
        }
        WorkflowState next = state.with(changed).dirty(job.id()).withPlacementDue(true);
        return definition.gang()
                ? WorkerCommands.abortGang(next, step, end.run())
                : WorkflowTransition.of(next);
    }

    private static WorkflowTransition interrupted(WorkflowState state, Job job, EndedRun end) {
        Task task = job.task(end.task());
        Job changed = job.with(end.task(), task.waiting(task.failures(), end.checkpoint()));
        WorkflowState next = state.with(changed).withPlacementDue(true);
        return job.step(end.task().stepKey()).gang()
                ? WorkerCommands.abortGang(next, end.task().stepKey(), end.run())
                : WorkflowTransition.of(next);
    }
}
