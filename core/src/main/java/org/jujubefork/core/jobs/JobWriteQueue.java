package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * What an entry has to add to the records of jobs.
 *
 * @param updates what is to be added, by job
 * @param byDueTime jobs by the time at which their next write is due
 * @param windowStartMillis start of the current second of writes
 * @param windowWriteCount writes in that second
 */
public record JobWriteQueue(
        PSortedMap<JobId, PendingJobUpdate> updates,
        PSortedSet<TimedJob> byDueTime,
        long windowStartMillis,
        int windowWriteCount) {
    static final JobWriteQueue EMPTY = new JobWriteQueue(TreePMap.empty(), TreePSet.empty(), 0, 0);

    /** Returns these writes with other work for {@code job}; the index by due time follows. */
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
                value.map(w -> updates.plus(job, w)).orElseGet(() -> updates.minus(job));
        return new JobWriteQueue(newUpdates, dueTimes, windowStartMillis, windowWriteCount);
    }

    /** Returns these writes in a second that begins at {@code startMillis}. */
    JobWriteQueue withNewWindow(long startMillis) {
        return new JobWriteQueue(updates, byDueTime, startMillis, 0);
    }

    /** Returns these writes after one more in the current second. */
    JobWriteQueue withWriteCounted() {
        return new JobWriteQueue(updates, byDueTime, windowStartMillis, windowWriteCount + 1);
    }
}
