package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.jobs.JobSpec;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.pcollections.PVector;

/** The life of a job and of its record in the store. */
public sealed interface JobEvent extends Event {
    /**
     * A caller submitted a job.
     *
     * @param atMillis when
     * @param request the id of the call, for the answer
     * @param job the id given to the job
     * @param spec what was submitted
     * @param keyHash hash of the caller's key, if one came with it
     * @param submittedAtEpochMillis when, in milliseconds since 1970 by this entry's clock
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
     * A caller cancelled a job.
     *
     * @param atMillis when
     * @param request the id of the call, for the answer
     * @param job the job
     * @param keyHash hash of the caller's key, if one came with it
     */
    record JobCancelRequested(long atMillis, RequestId request, JobId job, Optional<String> keyHash)
            implements JobEvent {}

    /**
     * Job records were read from the store.
     *
     * @param atMillis when
     * @param records records that are new or have changed
     * @param removed jobs whose records are gone
     */
    record JobRecordsChanged(long atMillis, PVector<StoredJob> records, PVector<JobId> removed)
            implements JobEvent {}

    /**
     * A write of a job record took effect.
     *
     * @param atMillis when
     * @param stored the record with its new revision
     */
    record JobWritten(long atMillis, StoredJob stored) implements JobEvent {}

    /**
     * A write of a job record did not take effect, or it is not known whether it did.
     *
     * @param atMillis when
     * @param job the job
     * @param maybeWritten whether the write may have taken effect
     * @param conflict whether the store held another revision
     */
    record JobWriteFailed(long atMillis, JobId job, boolean maybeWritten, boolean conflict)
            implements JobEvent {}
}
