package org.jujubefork.core.jobs;

import java.util.Comparator;
import org.jujubefork.core.model.JobId;

/**
 * A job with a time, so that a sorted set orders jobs by time.
 *
 * @param atMillis the time; its meaning depends on the collection that holds this value
 * @param job the job
 */
public record TimedJob(long atMillis, JobId job) implements Comparable<TimedJob> {
    private static final Comparator<TimedJob> ORDER =
            Comparator.comparingLong(TimedJob::atMillis).thenComparing(TimedJob::job);

    @Override
    public int compareTo(TimedJob other) {
        return ORDER.compare(this, other);
    }
}
