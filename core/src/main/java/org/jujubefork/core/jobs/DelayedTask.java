package org.jujubefork.core.jobs;

import java.util.Comparator;
import org.jujubefork.core.model.JobId;

/**
 * A failed task that waits for its retry delay before it is queued again.
 *
 * @param atMillis when the task is queued again
 * @param job the job that the task belongs to
 * @param index the index of the task in the job
 */
public record DelayedTask(long atMillis, JobId job, int index) implements Comparable<DelayedTask> {
    private static final Comparator<DelayedTask> ORDER =
            Comparator.comparingLong(DelayedTask::atMillis)
                    .thenComparing(DelayedTask::job)
                    .thenComparingInt(DelayedTask::index);

    @Override
    public int compareTo(DelayedTask other) {
        return ORDER.compare(this, other);
    }
}
