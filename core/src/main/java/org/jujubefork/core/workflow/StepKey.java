package org.jujubefork.core.workflow;

/**
 * Identifies a step of one occurrence of a job.
 *
 * @param job the identifier of the job
 * @param occurrence the index of the occurrence, 0 for a job without a schedule
 * @param step the index of the step, from 0
 */
public record StepKey(String job, int occurrence, int step) {
    /** Returns the key of the task at {@code index} of this step. */
    public TaskKey task(int index) {
        return new TaskKey(job, occurrence, step, index);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step;
    }
}
