package org.jujubefork.core.workflow;

import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;

/** Takes samples of the durations of tasks from the runs that end. */
final class DurationSamples {
    /**
     * Maximum number of tasks of a step whose durations are samples. The tasks of a step share one
     * estimate, so that more of them would hide how well estimates predict.
     */
    private static final int MAX_SAMPLES_PER_STEP = 2;

    private DurationSamples() {}

    /**
     * Returns {@code state} with the duration of {@code endedRun} as a sample, if its start is
     * known and it has done all of the task's work. The charge of the run must not be released yet.
     */
    static WorkflowState withSample(WorkflowState state, String worker, EndedRun endedRun) {
        TaskKey key = endedRun.task();
        Job job = state.jobs().get(key.job());
        WorkerNode node = state.workers().get(worker);
        if (endedRun.outcome() != RunOutcome.DONE
                || node == null
                || job == null
                || !job.hasTask(key)
                || !isSampled(job, endedRun)) {
            return state;
        }
        WorkerNode.Charge charge = node.charges().get(key);
        boolean isStartKnown =
                charge != null
                        && charge.runNumber() == endedRun.runNumber()
                        && !charge.stopping()
                        && charge.sentAt() >= 0
                        && RunNumbers.isOfThisTerm(state, job, endedRun.runNumber());
        if (!isStartKnown) {
            return state;
        }
        LearnedDurations learned =
                state.policies()
                        .learning()
                        .learn(
                                state.durations(),
                                job.queue(),
                                job.step(key.stepKey()).estimateMillis(),
                                state.now() - charge.sentAt());
        return learned == state.durations() ? state : state.with(learned);
    }

    private static boolean isSampled(Job job, EndedRun endedRun) {
        TaskKey key = endedRun.task();
        Task task = job.task(key);
        StepDefinition step = job.step(key.stepKey());
        // The first member of a gang that completes makes the others done.
        return task.phase() != Task.Phase.DONE
                && task.runNumber() == endedRun.runNumber()
                && task.checkpoint().isEmpty()
                && !step.service()
                && (step.gang() || key.index() < MAX_SAMPLES_PER_STEP);
    }
}
