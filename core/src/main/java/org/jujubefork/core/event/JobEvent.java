package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.jobs.JobSpec;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.pcollections.PVector;

/** Submissions and cancellations of jobs by callers, and changes of job records in the store. */
public sealed interface JobEvent extends Event {
    /**
     * A caller submitted a job.
     *
     * @param atMillis when the call was received
     * @param request identifier of the call, to which the answer is sent
     * @param job identifier assigned to the job
     * @param spec the job as submitted
     * @param keyHash SHA-256 hash of the caller's access key; empty if the call carried none
     * @param submittedAtEpochMillis when the job was submitted, in milliseconds since 1970 by this
     *     entry's wall clock
     */
    record JobSubmitted(
            long atMillis,
            RequestId request,
            JobId job,
            JobSpec spec,
            Optional<String> keyHash,
            long submittedAtEpochMillis)
            implements JobEvent {}

    /**
     * A caller asked to cancel a job.
     *
     * @param atMillis when the call was received
     * @param request identifier of the call, to which the answer is sent
     * @param job identifier of the job
     * @param keyHash SHA-256 hash of the caller's access key; empty if the call carried none
     */
    record JobCancelRequested(long atMillis, RequestId request, JobId job, Optional<String> keyHash)
            implements JobEvent {}

    /**
     * Job records were read from the store.
     *
     * @param atMillis when the records were received
     * @param records records that are new or have changed since the last read
     * @param removed jobs whose records were deleted
     */
    record JobRecordsChanged(long atMillis, PVector<StoredJob> records, PVector<JobId> removed)
            implements JobEvent {}

    /**
     * A write of a job record took effect.
     *
     * @param atMillis when the store confirmed the write
     * @param stored the record with its new revision
     */
    record JobWritten(long atMillis, StoredJob stored) implements JobEvent {}

    /**
     * A write of a job record did not take effect, or it is unknown whether the write took effect.
     *
     * @param atMillis when the write failed or timed out
     * @param job identifier of the job
     * @param maybeWritten whether the write may have taken effect
     * @param conflict whether the store rejected the write because the record's revision differed
     */
    record JobWriteFailed(long atMillis, JobId job, boolean maybeWritten, boolean conflict)
            implements JobEvent {}
}
