package org.jujubefork.core.jobs;

import java.util.Comparator;
import org.jujubefork.core.model.JobId;

/**
 * A task that failed and waits before it is queued again.
 *
 * @param atMillis when it is queued
 * @param job the job
 * @param index the task's index
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
