package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * The properties of a job that never change after its submission.
 *
 * @param id the id of the job
 * @param team the team whose limit and budget the job uses
 * @param queue the queue that the job was submitted to
 * @param kind batch, service or gang
 * @param name a display name; need not be unique
 * @param tasks the number of tasks, or of replicas of a service; at least 1
 * @param size the resources that one task needs
 * @param payload the input that each task gets
 * @param submittedAtEpochMillis when the job was accepted, in milliseconds since 1970 by the clock
 *     of the entry that accepted it
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
    /** Throws {@code IllegalArgumentException} if {@code tasks} is below 1. */
    public JobDefinition {
        if (tasks < 1) {
            throw new IllegalArgumentException(
                    "job " + id + " must have at least 1 task: " + tasks);
        }
    }
}
