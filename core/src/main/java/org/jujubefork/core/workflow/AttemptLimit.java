package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.Queue;

/**
 * Ends jobs with a task or gang whose failed runs have reached the limit of their queue. The limit
 * is checked when a run fails and before each start, because it may change in between, and is not
 * known while the queue is missing from the configuration.
 */
final class AttemptLimit {
    /** Logged as the worker of the last failure if a job fails before a start. */
    private static final String UNKNOWN_WORKER = "unknown";

    private AttemptLimit() {}

    /**
     * Returns whether the failed runs of the task {@code key}, or of its gang, have reached the
     * limit of {@code queue}.
     */
    static boolean isReached(Job job, TaskKey key, Queue queue) {
        return isReached(job, key.stepKey(), job.task(key), queue);
    }

    private static boolean isReached(Job job, StepKey step, Task task, Queue queue) {
        // Tasks of services are restarted regardless of how often they fail.
        return !job.step(step).service()
                && queue.maxAttempts() > 0
                && failureCount(job, step, task) >= queue.maxAttempts();
    }

    private static int failureCount(Job job, StepKey step, Task task) {
        return job.step(step).gang()
                ? job.progress(step).gangFailedRuns().count()
                : task.failedRuns().count();
    }

    /**
     * Returns a task of {@code step} that needs a start which {@code queue} does not allow any
     * more. An active run needs no start: it may still complete after the limit was lowered.
     */
    static Optional<TaskKey> exhaustedTask(Job job, StepKey step, Queue queue) {
        List<Task> tasks = job.progress(step).tasks();
        boolean isActiveGang =
                job.step(step).gang() && !tasks.stream().allMatch(AttemptLimit::needsStart);
        if (isActiveGang) {
            return Optional.empty();
        }
        int index = 0;
        for (Task task : tasks) {
            if (needsStart(task) && isReached(job, step, task, queue)) {
                return Optional.of(step.task(index));
            }
            index++;
        }
        return Optional.empty();
    }

    private static boolean needsStart(Task task) {
        return task.phase() == Task.Phase.WAITING || task.phase() == Task.Phase.ASSIGNED;
    }

    /** Ends {@code job} as failed because {@code task} must not be started again. */
    static WorkflowTransition failBeforeStart(
            WorkflowState state, Job job, TaskKey task, Queue queue) {
        return fail(state, job, task, queue, UNKNOWN_WORKER);
    }

    /**
     * Ends {@code job} as failed because of {@code task}, and stops its runs.
     *
     * @param worker the worker that has reported the last failure
     */
    static WorkflowTransition fail(
            WorkflowState state, Job job, TaskKey task, Queue queue, String worker) {
        WorkflowState next = state.with(job.withStatus(Job.Status.FAILED)).withDirtyJob(job.id());
        return CallHandler.stopAll(next, job.id())
                .with(
                        WorkflowEffect.LogEvent.of(
                                "job-failed",
                                job.id(),
                                "task",
                                task,
                                "failures",
                                failureCount(job, task.stepKey(), job.task(task)),
                                "attempts",
                                queue.maxAttempts(),
                                "worker",
                                worker));
    }
}
