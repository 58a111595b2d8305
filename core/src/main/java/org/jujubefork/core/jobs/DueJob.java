package org.jujubefork.core.jobs;

import java.util.Comparator;
import org.jujubefork.core.model.JobId;

/**
 * A job for which something is to be done.
 *
 * @param atMillis when
 * @param job the job
 */
public record DueJob(long atMillis, JobId job) implements Comparable<DueJob> {
    private static final Comparator<DueJob> ORDER =
            Comparator.comparingLong(DueJob::atMillis).thenComparing(DueJob::job);

    @Override
    public int compareTo(DueJob other) {
        return ORDER.compare(this, other);
    }
}
