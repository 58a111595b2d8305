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
     * Adds the duration of {@code endedRun} as a sample, if its start is known and it has done all
     * of the task's work. The charge of the run must not be released yet. Logs when the queue has
     * enough samples.
     */
    static WorkflowTransition sample(WorkflowState state, String worker, EndedRun endedRun) {
        LearnedDurations before = state.durations();
        LearnedDurations after = withSample(state, worker, endedRun);
        if (after == before) {
            return WorkflowTransition.of(state);
        }
        WorkflowTransition sampled = WorkflowTransition.of(state.with(after));
        String queue = state.jobs().get(endedRun.task().job()).queue();
        return after.isLearned(queue) && !before.isLearned(queue)
                ? sampled.with(
                        WorkflowEffect.LogEvent.of(
                                "durations-learned",
                                queue,
                                "samples",
                                after.queues().get(queue).samples().size(),
                                "factor_percent",
                                Math.round(100 * after.factors().get(queue)),
                                "estimate_weight_percent",
                                Math.round(100 * after.estimateWeights().get(queue))))
                : sampled;
    }

    private static LearnedDurations withSample(
            WorkflowState state, String worker, EndedRun endedRun) {
        TaskKey key = endedRun.task();
        Job job = state.jobs().get(key.job());
        WorkerNode node = state.workers().get(worker);
        if (endedRun.outcome() != RunOutcome.DONE
                || node == null
                || job == null
                || !job.hasTask(key)
                || !isSampled(job, endedRun)) {
            return state.durations();
        }
        WorkerNode.Charge charge = node.charges().get(key);
        boolean isStartKnown =
                charge != null
                        && charge.runNumber() == endedRun.runNumber()
                        && !charge.stopping()
                        && charge.sentAt() >= 0
                        && RunNumbers.isOfThisTerm(state, job, endedRun.runNumber());
        return isStartKnown
                ? state.policies()
                        .learning()
                        .learn(
                                state.durations(),
                                job.queue(),
                                job.step(key.stepKey()).estimateMillis(),
                                state.now() - charge.sentAt())
                : state.durations();
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
