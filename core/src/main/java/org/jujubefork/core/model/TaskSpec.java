package org.jujubefork.core.model;

import java.util.Optional;

/**
 * The specification of a task, as sent to the worker that runs it.
 *
 * @param id identifier of this attempt to run the task
 * @param team the team whose share and limit the task counts against
 * @param queue the queue to which the work was submitted
 * @param kind the kind of work
 * @param size the declared resource requirements
 * @param jobTask the job, task index and attempt; empty for requests
 * @param payload the input for tasks of jobs; empty for requests, whose body is streamed to the
 *     worker outside of the control state
 */
public record TaskSpec(
        TaskId id,
        TeamId team,
        QueueId queue,
        WorkKind kind,
        Resources size,
        Optional<JobTask> jobTask,
        String payload) {
    /** Checks that the size is not negative. */
    public TaskSpec {
        if (size.isNegative()) {
            throw new IllegalArgumentException("size must not be negative: " + size);
        }
    }
}
