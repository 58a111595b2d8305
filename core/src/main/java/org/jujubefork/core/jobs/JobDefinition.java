package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * What a job is; it never changes after the submission.
 *
 * @param id the job
 * @param team the team that is charged
 * @param queue the queue
 * @param kind batch, service or gang
 * @param name a name for people
 * @param tasks how many tasks or replicas
 * @param size the size of one task
 * @param payload the input of the tasks
 * @param submittedAtEpochMillis when it was accepted, in milliseconds since 1970 by the accepting
 *     entry's clock
 */
public record JobDefinition(
        JobId id,
        TeamId team,
        QueueId queue,
        WorkKind kind,
        String name,
        int tasks,
        Resources size,
        String payload,
        long submittedAtEpochMillis) {
    /** Checks the number of tasks. */
    public JobDefinition {
        if (tasks < 1) {
            throw new IllegalArgumentException(
                    "job " + id + " must have at least 1 task: " + tasks);
        }
    }
}
