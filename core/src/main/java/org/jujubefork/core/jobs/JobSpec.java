package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;

/**
 * A job as its caller submitted it.
 *
 * @param queue the queue
 * @param name a name for people
 * @param tasks how many tasks, or replicas of a service
 * @param size the size of one task; empty for the queue's default
 * @param payload the input of the tasks
 * @param idempotencyKey the caller's key that makes a repeated submission find the first one
 */
public record JobSpec(
        QueueId queue,
        String name,
        int tasks,
        Optional<Resources> size,
        String payload,
        Optional<String> idempotencyKey) {
    /** Checks the number of tasks. */
    public JobSpec {
        if (tasks < 1) {
            throw new IllegalArgumentException("a job must have at least 1 task, but has " + tasks);
        }
    }
}
