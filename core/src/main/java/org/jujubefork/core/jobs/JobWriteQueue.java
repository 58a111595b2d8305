package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Updates of job records that this entry has yet to write to the store.
 *
 * @param updates pending updates by job
 * @param byDueTime the same jobs, ordered by the time at which their next write is due
 * @param windowStartMillis start of the current one-second window of the write rate limit
 * @param windowWriteCount number of writes sent in that window
 */
public record JobWriteQueue(
        PSortedMap<JobId, PendingJobUpdate> updates,
        PSortedSet<TimedJob> byDueTime,
        long windowStartMillis,
        int windowWriteCount) {
    static final JobWriteQueue EMPTY = new JobWriteQueue(TreePMap.empty(), TreePSet.empty(), 0, 0);

    /**
     * Returns this queue with {@code value} as the pending update of {@code job}, or without one if
     * {@code value} is empty.
     */
    JobWriteQueue withUpdate(JobId job, Optional<PendingJobUpdate> value) {
        PendingJobUpdate previous = updates.get(job);
        PSortedSet<TimedJob> dueTimes = byDueTime;
        if (previous != null) {
            dueTimes = dueTimes.minus(new TimedJob(previous.dueMillis(), job));
        }
        if (value.isPresent()) {
            dueTimes = dueTimes.plus(new TimedJob(value.get().dueMillis(), job));
        }
        PSortedMap<JobId, PendingJobUpdate> newUpdates =
                value.map(u -> updates.plus(job, u)).orElseGet(() -> updates.minus(job));
        return new JobWriteQueue(newUpdates, dueTimes, windowStartMillis, windowWriteCount);
    }

    /** Returns this queue with a new rate limit window that starts at {@code startMillis}. */
    JobWriteQueue withNewWindow(long startMillis) {
        return new JobWriteQueue(updates, byDueTime, startMillis, 0);
    }

    /** Returns this queue with one more write counted in the current window. */
    JobWriteQueue withWriteCounted() {
        return new JobWriteQueue(updates, byDueTime, windowStartMillis, windowWriteCount + 1);
    }
}
