package org.jujubefork.core.jobs;

import java.util.Comparator;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;

/**
 * A caller that waits until a job or its cancellation is in the store.
 *
 * @param deadlineMillis when the caller is told that the outcome is not known
 * @param request the call
 * @param job the job
 * @param cancel whether the call cancels the job
 */
public record JobCaller(long deadlineMillis, RequestId request, JobId job, boolean cancel)
        implements Comparable<JobCaller> {
    private static final Comparator<JobCaller> ORDER =
            Comparator.comparingLong(JobCaller::deadlineMillis)
                    .thenComparing(JobCaller::request)
                    .thenComparing(JobCaller::job)
                    .thenComparing(JobCaller::cancel);

    @Override
    public int compareTo(JobCaller other) {
        return ORDER.compare(this, other);
    }
}
