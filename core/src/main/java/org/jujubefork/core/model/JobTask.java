package org.jujubefork.core.model;

/**
 * An attempt to run one task of a job.
 *
 * @param job identifier of the job
 * @param index index of the task in the job, from 0
 * @param attempt number of the attempt, from 1
 */
public record JobTask(JobId job, int index, int attempt) {
    /** Checks that the index is not negative and the attempt is at least 1. */
    public JobTask {
        if (index < 0) {
            throw new IllegalArgumentException("task index must not be negative: " + index);
        }
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt must be at least 1: " + attempt);
        }
    }
}
