package org.jujubefork.core.workflow;

/** Assigns the numbers of runs, from which the term in which a run was started is known. */
final class RunNumbers {
    /** Number of run numbers of a task that are reserved for each term. */
    private static final long RUNS_PER_TERM = 10_000;

    private RunNumbers() {}

    /**
     * Returns the number of the next run. For a job that an earlier leader accepted, it is higher
     * than any number that an earlier leader may have used.
     */
    static long next(WorkflowState state, Job job, long lastRunNumber) {
        return Math.max(lastOfEarlierTerms(state, job), lastRunNumber) + 1;
    }

    /** Returns whether the leader of this term has started the run of {@code job}. */
    static boolean isOfThisTerm(WorkflowState state, Job job, long runNumber) {
        return runNumber > lastOfEarlierTerms(state, job);
    }

    private static long lastOfEarlierTerms(WorkflowState state, Job job) {
        return (state.term() - job.term()) * RUNS_PER_TERM;
    }
}
