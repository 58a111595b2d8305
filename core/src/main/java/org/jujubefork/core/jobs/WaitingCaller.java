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
public record WaitingCaller(long deadlineMillis, RequestId request, JobId job, boolean cancel)
        implements Comparable<WaitingCaller> {
    private static final Comparator<WaitingCaller> ORDER =
            Comparator.comparingLong(WaitingCaller::deadlineMillis)
                    .thenComparing(WaitingCaller::request)
                    .thenComparing(WaitingCaller::job)
                    .thenComparing(WaitingCaller::cancel);

    @Override
    public int compareTo(WaitingCaller other) {
        return ORDER.compare(this, other);
    }
}
