package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;

/** An input of the control thread. Times are in milliseconds of the entry's monotonic clock. */
public sealed interface WorkflowEvent {
    /** Returns when the event happened. */
    long at();

    /**
     * The outcome of an effect that a leader sent. An entry can lead again after another entry has
     * led; outcomes from the entry's earlier term are stale and ignored.
     */
    sealed interface FencedOutcome extends WorkflowEvent {
        /** Returns the fencing token of the leader that sent the effect. */
        long fence();
    }

    /**
     * Time has passed.
     *
     * @param at the time
     * @param wallMillis the Unix time in milliseconds
     */
    record Tick(long at, long wallMillis) implements WorkflowEvent {}

    /**
     * The store has returned the newest configuration, or has reported that there is no newer one.
     *
     * @param at when the answer arrived
     * @param sentAt when the read was sent; the configuration was the newest at that time
     * @param configuration the configuration, empty if the configuration already known is still the
     *     newest
     */
    record ConfigurationRead(long at, long sentAt, Optional<CellConfiguration> configuration)
            implements WorkflowEvent {}

    /**
     * A watch of the store has returned the operators' requests to evacuate zones, changed or not.
     *
     * @param at when the answer arrived
     * @param sentAt when the read was sent; it shows all requests that were written before
     * @param zones all requests, by zone
     */
    record EvacuationsRead(long at, long sentAt, PMap<String, EvacuationRequest> zones)
            implements WorkflowEvent {}

    /**
     * The store has returned the record of the leader.
     *
     * @param at when the answer arrived
     * @param sentAt when the read was sent; the record was the newest at that time or later
     * @param leader the record, empty if there is none
     */
    record LeaderRead(long at, long sentAt, Optional<LeaderRecord> leader)
            implements WorkflowEvent {}

    /**
     * A follower has received a heartbeat of the leader, or its connection to the leader has
     * changed.
     *
     * @param at when it happened
     * @param leader the address of the leader
     * @param signal what has happened
     */
    record LeaderSignalReceived(long at, String leader, LeaderSignal signal)
            implements WorkflowEvent {}

    /** What a follower can observe on its connection to the leader. */
    enum LeaderSignal {
        /** A heartbeat; the leader can reach the store. */
        HEARTBEAT,
        /** A heartbeat; the leader reports that it cannot reach the store. */
        HEARTBEAT_WITHOUT_STORE,
        /**
         * The connection was reset or refused, for example because the leader's process has ended.
         */
        CONNECTION_REFUSED,
        /** The leader has announced that it shuts down. */
        RESIGNED
    }

    /**
     * An attempt to become the leader has completed.
     *
     * @param at when it completed
     * @param result the answer of the store
     */
    record ClaimCompleted(long at, ClaimResult result) implements WorkflowEvent {}

    /** The result of an attempt to become the leader. */
    sealed interface ClaimResult {
        /**
         * This entry leads.
         *
         * @param leader the record that was written
         * @param snapshot the contents of the store
         */
        record Won(LeaderRecord leader, Snapshot snapshot) implements ClaimResult {}

        /** Another entry leads, or the result is unknown. */
        record NotWon() implements ClaimResult {}
    }

    /**
     * The list of workers was read.
     *
     * @param at when it was read
     * @param workers all valid records of the list, by identifier
     */
    record WorkersListed(long at, PMap<String, WorkerNode.Listing> workers)
            implements WorkflowEvent {}

    /**
     * The entries that are connected to this leader have changed.
     *
     * @param at when they changed
     * @param followers the processor capacity of each entry in thousandths of a core, by name
     */
    record FollowersChanged(long at, PMap<String, Integer> followers) implements WorkflowEvent {}

    /**
     * The leader has announced the position of this entry among its successors.
     *
     * @param at when the announcement arrived
     * @param leader the address of the leader
     * @param position the position, 0 for the entry that replaces the leader first
     */
    record SuccessionAnnounced(long at, String leader, int position) implements WorkflowEvent {}

    /**
     * A worker has answered a lease renewal.
     *
     * @param at when the answer arrived
     * @param fence the fencing token of the leader that sent the renewal
     * @param sentAt when the renewal was sent
     * @param worker the identifier of the worker
     * @param report its answer
     */
    record LeaseRenewalAnswered(
            long at, long fence, long sentAt, String worker, WorkerReport report)
            implements FencedOutcome {}

    /**
     * A lease renewal has failed.
     *
     * @param at when it failed
     * @param fence the fencing token of the leader that sent the renewal
     * @param worker the identifier of the worker
     * @param address the address that the renewal was sent to
     * @param failure the reason
     */
    record LeaseRenewalFailed(
            long at, long fence, String worker, String address, CommandOutcome failure)
            implements FencedOutcome {}

    /**
     * The runs of a worker as it reports them.
     *
     * @param incarnation when the worker process started, in Unix milliseconds; identifies the
     *     incarnation
     * @param clockMillis the time of the worker's clock
     * @param running the runs that are active
     * @param ended the runs that have ended and are not acknowledged yet, those that ended first if
     *     the worker does not list all of them
     * @param allEndedListed whether {@code ended} certainly lists all of them; if not, a run that
     *     is in neither list may have ended
     */
    record WorkerReport(
            long incarnation,
            long clockMillis,
            PVector<RunningRun> running,
            PVector<EndedRun> ended,
            boolean allEndedListed) {}

    /**
     * A run that a worker reports as active.
     *
     * @param task the task
     * @param runNumber the number of the run
     * @param checkpoint its newest checkpoint, empty for none
     * @param speedPercent its speed in percent of its full speed
     */
    record RunningRun(TaskKey task, long runNumber, String checkpoint, long speedPercent) {}

    /**
     * A run that a worker reports as ended.
     *
     * @param sequence the sequence number of this completion; it increases within an incarnation of
     *     the worker
     * @param task the task
     * @param runNumber the number of the run
     * @param outcome how it ended
     * @param checkpoint its newest checkpoint, empty for none
     */
    record EndedRun(
            long sequence, TaskKey task, long runNumber, RunOutcome outcome, String checkpoint) {}

    /** How a run ended. */
    enum RunOutcome {
        /** Completed successfully. */
        DONE,
        /** Failed, because of the task or of the worker. */
        FAILED,
        /** Was stopped by a command. */
        STOPPED,
        /** Was stopped because the lease expired. */
        LAPSED,
        /** Was stopped because another member of its gang had ended. */
        BROKEN,
        /** Was stopped because the other members of its gang did not start in time. */
        ALONE
    }

    /**
     * A start or stop command has been answered or has failed.
     *
     * @param at when the answer arrived
     * @param fence the fencing token of the leader that sent the command
     * @param command the command
     * @param outcome the result
     */
    record CommandCompleted(long at, long fence, WorkerCommand command, CommandOutcome outcome)
            implements FencedOutcome {}

    /**
     * A command to a worker.
     *
     * @param kind start or stop
     * @param worker the identifier of the worker
     * @param task the task
     * @param runNumber the number of the run
     */
    record WorkerCommand(CommandKind kind, String worker, TaskKey task, long runNumber) {}

    /** The kinds of commands. */
    enum CommandKind {
        /** Starts a run. */
        START,
        /** Stops a run. */
        STOP
    }

    /** The result of a command or a lease renewal. */
    enum CommandOutcome {
        /** The worker has carried out the command or renewal. */
        OK,
        /** Rejected: the worker has seen the fencing token of a newer leader. */
        FENCED,
        /**
         * Rejected: the worker has already stopped or ended this run or a newer one of the task.
         */
        OLD,
        /** Rejected: the lease of the command had already expired. */
        LATE,
        /** Rejected: the worker does not have enough free capacity. */
        NO_ROOM,
        /** Rejected: the command carries no valid ticket. */
        NO_TICKET,
        /** Rejected: the worker is unhealthy, and has done nothing. */
        UNHEALTHY,
        /** Rejected: the worker could not parse the message. */
        INVALID,
        /** The address now belongs to another worker. */
        OTHER_WORKER,
        /** No connection could be established, so nothing was sent. */
        NOT_SENT,
        /** There was no answer; the worker may still carry out the command later. */
        UNKNOWN
    }

    /**
     * A request to the advice service has been answered or has failed.
     *
     * @param at when the answer arrived
     * @param fence the fencing token of the leader that sent the request
     * @param number the number of the request
     * @param tickets the tickets of the workers that may run the step, by worker; empty if the
     *     request failed
     */
    record AdviceCompleted(long at, long fence, long number, Optional<Map<String, String>> tickets)
            implements FencedOutcome {}

    /**
     * A request of a caller has arrived.
     *
     * @param at when it arrived
     * @param requestId the number that identifies it in the answer
     * @param call the request itself
     */
    record CallArrived(long at, long requestId, Call call) implements WorkflowEvent {}

    /** A request of a caller that was already checked against the configuration. */
    sealed interface Call {
        /** Returns the name of the queue that the request is for. */
        String queue();

        /**
         * Submits a job.
         *
         * @param queue the queue
         * @param team the caller's team, empty on open queues
         * @param job the identifier of the job
         * @param definition the job
         */
        record Submit(String queue, String team, String job, WorkflowDefinition definition)
                implements Call {}

        /**
         * Queries the status of a job.
         *
         * @param queue the queue
         * @param job the identifier of the job
         */
        record Query(String queue, String job) implements Call {}

        /**
         * Cancels a job.
         *
         * @param queue the queue
         * @param job the identifier of the job
         */
        record Cancel(String queue, String job) implements Call {}

        /**
         * Queries the number of jobs that wait for their first task to start.
         *
         * @param queue the queue
         */
        record Count(String queue) implements Call {}
    }

    /**
     * A commit has been answered or has failed.
     *
     * @param at when the answer arrived
     * @param fence the fencing token of the leader that sent it
     * @param batch the number of the commit
     * @param result the answer of the store
     */
    record CommitCompleted(long at, long fence, long batch, CommitResult result)
            implements FencedOutcome {}

    /** The result of a commit. */
    sealed interface CommitResult {
        /**
         * The commit is durable.
         *
         * @param revision its store revision
         */
        record Stored(long revision) implements CommitResult {}

        /** Another entry leads; nothing was written. */
        record LostLeadership() implements CommitResult {}

        /** Nothing was written, or the result is unknown; the same commit can be sent again. */
        record Retry() implements CommitResult {}
    }

    /**
     * This entry has been asked to shut down.
     *
     * @param at when the shutdown was requested
     */
    record ResignRequested(long at) implements WorkflowEvent {}

    /**
     * The jobs and workers in the store.
     *
     * @param jobs the active jobs with their progress
     * @param finished the jobs that have ended
     * @param fleet the workers on which earlier leaders may have started runs
     * @param silentWorkers the newest record of silent workers
     * @param evacuations the requests to evacuate zones, by zone; empty in deployments without
     *     evacuations
     */
    record Snapshot(
            List<Job> jobs,
            List<FinishedJob> finished,
            List<WorkerNode.Listing> fleet,
            SilentWorkers silentWorkers,
            PMap<String, EvacuationRequest> evacuations) {
        /** Copies the lists. */
        public Snapshot {
            jobs = List.copyOf(jobs);
            finished = List.copyOf(finished);
            fleet = List.copyOf(fleet);
        }

        /** Creates the contents of a store without requests to evacuate zones. */
        public Snapshot(
                List<Job> jobs,
                List<FinishedJob> finished,
                List<WorkerNode.Listing> fleet,
                SilentWorkers silentWorkers) {
            this(jobs, finished, fleet, silentWorkers, HashTreePMap.empty());
        }
    }
}
