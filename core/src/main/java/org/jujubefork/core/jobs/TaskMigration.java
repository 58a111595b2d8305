package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;

/**
 * An ongoing migration of unstarted tasks to another shard.
 *
 * @param job the job that the tasks belong to
 * @param from the first task index
 * @param to the index after the last task
 * @param target the shard that is to run them
 * @param startedMillis when the migration was started
 * @param announcementSeenMillis when this entry saw the announcement in the stored record; {@link
 *     #NOT_ANNOUNCED} before that
 * @param announcedRevision the revision of the record in which this entry saw the announcement; 0
 *     before that
 */
public record TaskMigration(
        JobId job,
        int from,
        int to,
        ShardId target,
        long startedMillis,
        long announcementSeenMillis,
        long announcedRevision) {
    /** Value of {@code announcementSeenMillis} while no announcement was seen. */
    static final long NOT_ANNOUNCED = Long.MAX_VALUE;

    TaskMigration withAnnouncementSeen(long nowMillis, long seenRevision) {
        return new TaskMigration(job, from, to, target, startedMillis, nowMillis, seenRevision);
    }
}
