package org.jujubefork.core.model;

import java.util.Optional;

/**
 * What a worker needs to know to run a task.
 *
 * @param id this attempt
 * @param team the team that is charged
 * @param queue the queue through which the work entered
 * @param kind the kind of work
 * @param size the declared size
 * @param job the job and index that the task belongs to; empty for requests
 * @param payload the input for tasks of jobs; empty for requests, whose body stays with the front
 *     end
 */
public record TaskSpec(
        TaskId id,
        TeamId team,
        QueueId queue,
        WorkKind kind,
        Resources size,
        Optional<JobTask> job,
        String payload) {
    /** Checks that the size is not negative. */
    public TaskSpec {
        if (size.isNegative()) {
            throw new IllegalArgumentException("size must not be negative: " + size);
        }
    }
}
