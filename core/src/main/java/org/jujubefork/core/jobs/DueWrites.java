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
 * @param work what is to be added, by job
 * @param due jobs by the time at which their next write is due
 * @param windowMillis start of the current second of writes
 * @param windowWrites writes in that second
 */
public record DueWrites(
        PSortedMap<JobId, JobWork> work,
        PSortedSet<DueJob> due,
        long windowMillis,
        int windowWrites) {
    static final DueWrites NONE = new DueWrites(TreePMap.empty(), TreePSet.empty(), 0, 0);

    /** Returns these writes with other work for {@code job}; the index by due time follows. */
    DueWrites with(JobId job, Optional<JobWork> value) {
        JobWork before = work.get(job);
        PSortedSet<DueJob> times = due;
        if (before != null) {
            times = times.minus(new DueJob(before.dueMillis(), job));
        }
        if (value.isPresent()) {
            times = times.plus(new DueJob(value.get().dueMillis(), job));
        }
        PSortedMap<JobId, JobWork> works =
                value.map(w -> work.plus(job, w)).orElseGet(() -> work.minus(job));
        return new DueWrites(works, times, windowMillis, windowWrites);
    }

    /** Returns these writes in a second that begins at {@code startMillis}. */
    DueWrites inWindow(long startMillis) {
        return new DueWrites(work, due, startMillis, 0);
    }

    /** Returns these writes after one more in the current second. */
    DueWrites counted() {
        return new DueWrites(work, due, windowMillis, windowWrites + 1);
    }
}
