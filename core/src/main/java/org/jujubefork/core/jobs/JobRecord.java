package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.PVector;

/**
 * A job as it stands in the store.
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
 * @param state its state
 * @param reason why it failed or cannot run; empty otherwise
 * @param parts which shard runs which tasks
 * @param succeeded indexes of tasks that succeeded
 * @param attempts started attempts by task index, where a task was started more than once or failed
 */
public record JobRecord(
        JobId id,
        TeamId team,
        QueueId queue,
        WorkKind kind,
        String name,
        int tasks,
        Resources size,
        String payload,
        long submittedAtEpochMillis,
        JobState state,
        String reason,
        PVector<JobPart> parts,
        PSortedSet<Integer> succeeded,
        PSortedMap<Integer, Integer> attempts) {}
