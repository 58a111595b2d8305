package org.jujubefork.core.workflow;

/**
 * Identifies a task of a job.
 *
 * @param job the identifier of the job
 * @param occurrence the index of the occurrence, 0 for a job without a schedule
 * @param step the index of the step, from 0
 * @param index the index of the task in its step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {
    /** Returns the key of the step that this task belongs to. */
    public StepKey stepKey() {
        return new StepKey(job, occurrence, step);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
