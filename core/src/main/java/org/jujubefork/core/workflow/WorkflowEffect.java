package org.jujubefork.core.workflow;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerCommand;

/** Something to be done outside of the control thread. */
public sealed interface WorkflowEffect {
    /**
     * Answers a call.
     *
     * @param request the call
     * @param reply the answer
     */
    record Answer(long request, Reply reply) implements WorkflowEffect {}

    /** What a caller is told. */
    sealed interface Reply {
        /** The job is accepted and stored, or cancelled and stored. */
        record Done() implements Reply {}

        /**
         * The state of a job.
         *
         * @param status its status
         * @param started whether a task has been started
         */
        record JobStatus(Job.Status status, boolean started) implements Reply {}

        /** No such job is known. */
        record NoSuchJob() implements Reply {}

        /**
         * How many jobs wait.
         *
         * @param count the number
         */
        record WaitingJobs(int count) implements Reply {}

        /**
         * The call was not carried out and will not be.
         *
         * @param retryAfterMillis when to try again
         * @param overloaded whether the team or queue has too much waiting
         */
        record Rejected(long retryAfterMillis, boolean overloaded) implements Reply {}

        /** This entry does not lead; nothing was done. */
        record NotLeading() implements Reply {}
    }

    /**
     * Tries to become the leader and, on success, reads what the store holds.
     *
     * @param expectedRevision the revision of the record to replace, 0 if there is none
     * @param term the term to write
     */
    record Claim(long expectedRevision, long term) implements WorkflowEffect {}

    /**
     * The entry follows another one, or leads.
     *
     * @param leader the leader
     * @param self whether it is this entry
     */
    record LeaderChanged(LeaderRecord leader, boolean self) implements WorkflowEffect {}

    /** Tells the followers that this entry stops leading. */
    record Resign() implements WorkflowEffect {}

    /**
     * Writes to the store under the condition that this entry leads.
     *
     * @param batch the number of the write, which rises in a term
     * @param leaderRevision the revision of this leader's record
     * @param previousRevision the revision of the write before, or of the leader's record
     * @param entries what to write
     */
    record Commit(long batch, long leaderRevision, long previousRevision, List<Entry> entries)
            implements WorkflowEffect {
        /** Copies the entries. */
        public Commit {
            entries = List.copyOf(entries);
        }
    }

    /** One change of the store. */
    sealed interface Entry {
        /**
         * An accepted job.
         *
         * @param job the job
         */
        record PutJob(Job job) implements Entry {}

        /**
         * Which tasks of a job have ended and how.
         *
         * @param job the job
         */
        record PutProgress(Job job) implements Entry {}

        /**
         * A job that has ended is not kept as active any more.
         *
         * @param job the identifier
         */
        record RemoveJob(String job) implements Entry {}

        /**
         * The jobs that ended in the same time.
         *
         * @param bucket names the record
         * @param jobs the jobs
         */
        record PutFinished(long bucket, List<FinishedJob> jobs) implements Entry {
            /** Copies the list. */
            public PutFinished {
                jobs = List.copyOf(jobs);
            }
        }

        /**
         * Jobs that ended long ago are forgotten.
         *
         * @param bucket names the record
         */
        record RemoveFinished(long bucket) implements Entry {}

        /**
         * The workers that may run something.
         *
         * @param workers the workers
         */
        record PutFleet(List<WorkerNode.Listing> workers) implements Entry {
            /** Copies the list. */
            public PutFleet {
                workers = List.copyOf(workers);
            }
        }
    }

    /**
     * Renews the lease of a worker and asks what runs there.
     *
     * @param worker the worker
     * @param fence the fencing token
     * @param acknowledged ends up to this number are stored
     * @param expiry the end of the lease on the worker's clock, empty to leave it as it is
     * @param maxWaitMillis how long the worker may wait for an end
     */
    record RenewLease(
            WorkerNode.Listing worker,
            long fence,
            long acknowledged,
            OptionalLong expiry,
            long maxWaitMillis)
            implements WorkflowEffect {}

    /**
     * Starts a run.
     *
     * @param command the run and the worker
     * @param worker the worker
     * @param payload the job's text
     * @param leaseExpiry the end of the lease on the worker's clock
     * @param fence the fencing token
     * @param checkpoint where to resume, empty to start anew
     * @param ticket the permission of the advice service, empty if none is needed
     */
    record Start(
            WorkerCommand command,
            WorkerNode.Listing worker,
            String payload,
            long leaseExpiry,
            long fence,
            String checkpoint,
            String ticket)
            implements WorkflowEffect {}

    /**
     * Stops a run.
     *
     * @param command the run and the worker
     * @param worker the worker
     * @param fence the fencing token
     */
    record Stop(WorkerCommand command, WorkerNode.Listing worker, long fence)
            implements WorkflowEffect {}

    /**
     * Asks which workers may run a step.
     *
     * @param advisor the entry that asks
     * @param step the step
     * @param workers the candidates
     * @param costMillis the time that the service takes for the answer
     * @param fence the fencing token of the leader
     */
    record Advise(String advisor, StepKey step, List<String> workers, long costMillis, long fence)
            implements WorkflowEffect {
        /** Copies the candidates. */
        public Advise {
            workers = List.copyOf(workers);
        }
    }

    /**
     * Writes a log line.
     *
     * @param event what was decided
     * @param subject what it is about
     * @param fields the inputs and the outcome as pairs of key and value
     */
    record LogEvent(String event, String subject, List<String> fields) implements WorkflowEffect {
        /** Copies the pairs. */
        public LogEvent {
            fields = List.copyOf(fields);
        }

        /** Returns a note whose {@code fields} alternates keys and values. */
        public static LogEvent of(String event, Object subject, Object... fields) {
            return new LogEvent(
                    event, subject.toString(), Arrays.stream(fields).map(String::valueOf).toList());
        }
    }
}
