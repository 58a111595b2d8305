package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;

/**
 * The request of a caller to run a job.
 *
 * @param queue the queue that the job is submitted to
 * @param name a display name; need not be unique
 * @param tasks the number of tasks, or of replicas of a service; at least 1
 * @param size the resources that one task needs; empty for the default of the queue
 * @param payload the input that each task gets
 * @param idempotencyKey the caller's key that identifies repeated submissions of the same job;
 *     empty if the caller sent no key
 */
public record JobSpec(
        QueueId queue,
        String name,
        int tasks,
        Optional<Resources> size,
        String payload,
        Optional<String> idempotencyKey) {
    /** Throws {@code IllegalArgumentException} if {@code tasks} is below 1. */
    public JobSpec {
        if (tasks < 1) {
            throw new IllegalArgumentException("job must have at least 1 task: " + tasks);
        }
    }
}
