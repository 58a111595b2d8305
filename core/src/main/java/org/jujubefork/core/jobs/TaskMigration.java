package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;

/**
 * A move of unstarted tasks to another shard.
 *
 * @param job the job
 * @param from the first task index
 * @param to the index after the last one
 * @param target the shard that is to run them
 * @param startedMillis when it began
 * @param announcementSeenMillis when the announcement in the record was seen; {@link
 *     #NOT_ANNOUNCED} before
 * @param announcedRevision the revision of the record that showed it
 */
public record TaskMigration(
        JobId job,
        int from,
        int to,
        ShardId target,
        long startedMillis,
        long announcementSeenMillis,
        long announcedRevision) {
    /** Stands for a move that is not yet announced. */
    static final long NOT_ANNOUNCED = Long.MAX_VALUE;

    TaskMigration withAnnouncementSeen(long nowMillis, long seenRevision) {
        return new TaskMigration(job, from, to, target, startedMillis, nowMillis, seenRevision);
    }
}
