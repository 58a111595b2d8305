package org.jujubefork.core.model;

/**
 * One task of a job.
 *
 * @param job the job
 * @param index the task's index in the job, from 0
 * @param attempt the attempt, from 1
 */
public record JobTask(JobId job, int index, int attempt) {
    /** Checks index and attempt. */
    public JobTask {
        if (index < 0) {
            throw new IllegalArgumentException("task index must not be negative: " + index);
        }
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt must be at least 1: " + attempt);
        }
    }
}
