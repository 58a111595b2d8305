package org.jujubefork.core.jobs;

import java.util.Comparator;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;

/**
 * A caller that waits until a submitted job, or its cancellation, is written to the store.
 *
 * @param deadlineMillis when the wait times out and the caller gets the answer that the outcome is
 *     unknown
 * @param request the id of the call, for the answer
 * @param job the job that is submitted or cancelled
 * @param cancel true if the call cancels the job, false if it submits the job
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
