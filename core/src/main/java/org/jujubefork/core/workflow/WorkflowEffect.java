package org.jujubefork.core.workflow;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerCommand;

/** An action to carry out outside of the control thread. */
public sealed interface WorkflowEffect {
    /**
     * Answers a request of a caller.
     *
     * @param requestId the number of the request
     * @param reply the answer
     */
    record Answer(long requestId, Reply reply) implements WorkflowEffect {}

    /** The content of an answer to a caller. */
    sealed interface Reply {
        /** The job was accepted or cancelled and this is durable, or the job had already ended. */
        record Done() implements Reply {}

        /**
         * The status of a job.
         *
         * @param status the status
         * @param started whether a task was ever started
         */
        record JobStatus(Job.Status status, boolean started) implements Reply {}

        /** There is no such job. */
        record NoSuchJob() implements Reply {}

        /**
         * The number of jobs that wait for their first task to start.
         *
         * @param count the number of jobs
         */
        record WaitingJobs(int count) implements Reply {}

        /**
         * The request was rejected and will not be carried out.
         *
         * @param retryAfterMillis the time after which the caller may retry
         * @param overloaded whether too much work of the team or queue is waiting
         */
        record Rejected(long retryAfterMillis, boolean overloaded) implements Reply {}

        /** This entry does not lead; nothing was done. */
        record NotLeading() implements Reply {}

        /** This entry has stopped leading; the request may have been carried out. */
        record OutcomeUnknown() implements Reply {}
    }

    /**
     * Tries to become the leader and, if successful, reads the contents of the store.
     *
     * @param expectedRevision the revision of the record to replace, 0 if there is none
     * @param term the term to write
     */
    record Claim(long expectedRevision, long term) implements WorkflowEffect {}

    /**
     * This entry follows a new leader, or has become the leader.
     *
     * @param leader the record of the leader
     * @param thisEntryLeads whether this entry is the leader
     */
    record LeaderChanged(LeaderRecord leader, boolean thisEntryLeads) implements WorkflowEffect {}

    /**
     * Announces to the followers in which order they are to replace this leader.
     *
     * @param entries the followers, the first successor first
     */
    record AnnounceSuccession(List<String> entries) implements WorkflowEffect {
        /** Copies the list. */
        public AnnounceSuccession {
            entries = List.copyOf(entries);
        }
    }

    /** Reads the worker list now, because a worker has restarted since it was last read. */
    record ReadWorkerList() implements WorkflowEffect {}

    /** Announces to the followers that this entry stops leading. */
    record Resign() implements WorkflowEffect {}

    /**
     * Writes a batch of changes to the store, on condition that this entry leads.
     *
     * @param batch the number of the commit, which increases by one with each commit of a term
     * @param leaderRevision the revision of this leader's record
     * @param previousRevision the revision of the previous commit; for the first commit of a term,
     *     the revision of the leader's record
     * @param entries the changes
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
         * Writes the record of an accepted job.
         *
         * @param job the job
         */
        record PutJob(Job job) implements Entry {}

        /**
         * Writes the progress record of a job: which tasks are done and which runs have failed.
         *
         * @param job the job
         */
        record PutProgress(Job job) implements Entry {}

        /**
         * Removes the job and progress records of a job that has ended.
         *
         * @param job the identifier of the job
         */
        record RemoveJob(String job) implements Entry {}

        /**
         * Writes the record of the jobs that ended in the same time slice.
         *
         * @param bucket the number of the record
         * @param jobs the jobs
         */
        record PutFinished(long bucket, List<FinishedJob> jobs) implements Entry {
            /** Copies the list. */
            public PutFinished {
                jobs = List.copyOf(jobs);
            }
        }

        /**
         * Removes a record of jobs that ended long ago.
         *
         * @param bucket the number of the record
         */
        record RemoveFinished(long bucket) implements Entry {}

        /**
         * Writes the set of workers on which tasks may run.
         *
         * @param workers the workers, each with the incarnation that the set names
         */
        record PutFleet(List<WorkerNode.Listing> workers) implements Entry {
            /** Copies the list. */
            public PutFleet {
                workers = List.copyOf(workers);
            }
        }

        /**
         * Writes the record of silent workers.
         *
         * @param silentWorkers the workers and the runs that may be active on them
         */
        record PutSilentWorkers(SilentWorkers silentWorkers) implements Entry {}
    }

    /**
     * Renews the lease of a worker and requests a report of its runs.
     *
     * @param worker the worker
     * @param leaderFence the fencing token of the leader, which identifies its term
     * @param fence the fencing token that the worker checks
     * @param acknowledged the completions up to this sequence number are stored, so the worker can
     *     forget them
     * @param expiry when the lease expires on the worker's clock; empty to leave the lease
     *     unchanged
     * @param maxWaitMillis how long the worker may hold back its answer until a run ends
     */
    record RenewLease(
            WorkerNode.Listing worker,
            long leaderFence,
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
     * @param payload the payload of the job
     * @param leaseExpiry when the lease of the run expires, on the worker's clock
     * @param leaderFence the fencing token of the leader, which identifies its term
     * @param fence the fencing token that the worker checks
     * @param checkpoint the checkpoint to resume from, empty to start from the beginning
     * @param ticket the ticket of the advice service, empty if none is needed
     */
    record Start(
            WorkerCommand command,
            WorkerNode.Listing worker,
            String payload,
            long leaseExpiry,
            long leaderFence,
            long fence,
            String checkpoint,
            String ticket)
            implements WorkflowEffect {}

    /**
     * Stops a run.
     *
     * @param command the run and the worker
     * @param worker the worker
     * @param leaderFence the fencing token of the leader, which identifies its term
     * @param fence the fencing token that the worker checks
     */
    record Stop(WorkerCommand command, WorkerNode.Listing worker, long leaderFence, long fence)
            implements WorkflowEffect {}

    /**
     * Asks the advice service which workers may run a step.
     *
     * @param number the number that identifies the request
     * @param advisor the entry that sends the request to the service
     * @param step the step
     * @param workers the candidates
     * @param costMillis the time that the service needs to process the request
     * @param fence the fencing token of the leader
     */
    record RequestAdvice(
            long number,
            String advisor,
            StepKey step,
            List<String> workers,
            long costMillis,
            long fence)
            implements WorkflowEffect {
        /** Copies the candidates. */
        public RequestAdvice {
            workers = List.copyOf(workers);
        }
    }

    /**
     * Writes a log event.
     *
     * @param event the name of the event
     * @param subject the job, task, worker or entry that the event is about
     * @param fields alternating keys and values
     */
    record LogEvent(String event, String subject, List<String> fields) implements WorkflowEffect {
        /** Copies the fields. */
        public LogEvent {
            fields = List.copyOf(fields);
        }

        /** Returns a log event whose {@code fields} alternate keys and values. */
        public static LogEvent of(String event, Object subject, Object... fields) {
            return new LogEvent(
                    event, subject.toString(), Arrays.stream(fields).map(String::valueOf).toList());
        }
    }
}
