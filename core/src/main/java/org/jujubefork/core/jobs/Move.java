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
 * @param sinceMillis when it began
 * @param announcedMillis when the announcement in the record was seen; {@link #NOT_YET} before
 * @param revision the revision of the record that showed it
 */
public record Move(
        JobId job,
        int from,
        int to,
        ShardId target,
        long sinceMillis,
        long announcedMillis,
        long revision) {
    /** Stands for a move that is not yet announced. */
    static final long NOT_YET = Long.MAX_VALUE;

    Move announced(long nowMillis, long seenRevision) {
        return new Move(job, from, to, target, sinceMillis, nowMillis, seenRevision);
    }
}
