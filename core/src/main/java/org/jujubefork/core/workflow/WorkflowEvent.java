package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;

/** Something that the control thread reacts to. Times are of the entry's monotonic clock in ms. */
public sealed interface WorkflowEvent {
    /** Returns when it happened. */
    long at();

    /**
     * The outcome of something that a leader has sent out. An entry can lead again after another
     * one did; what it sent in an earlier term says nothing about the present.
     */
    sealed interface FencedOutcome extends WorkflowEvent {
        /** Returns the fencing token of the leader that sent it. */
        long fence();
    }

    /**
     * Time has passed.
     *
     * @param at when
     * @param wallMillis the Unix time
     */
    record Tick(long at, long wallMillis) implements WorkflowEvent {}

    /**
     * The store has shown the newest configuration, or that there is no newer one.
     *
     * @param at when the answer came
     * @param sentAt when the question was sent; the configuration was current then
     * @param configuration the configuration, empty if the known one is still the newest
     */
    record ConfigurationRead(long at, long sentAt, Optional<CellConfiguration> configuration)
            implements WorkflowEvent {}

    /**
     * The store has shown who leads.
     *
     * @param at when the answer came
     * @param sentAt when the question was sent; the answer was true then or later
     * @param leader the newest record, empty if there is none
     */
    record LeaderRead(long at, long sentAt, Optional<LeaderRecord> leader)
            implements WorkflowEvent {}

    /**
     * The connection to the leader has changed or carried a heartbeat.
     *
     * @param at when
     * @param leader the address of the leader
     * @param signal what was seen
     */
    record LeaderSignalReceived(long at, String leader, LeaderSignal signal)
            implements WorkflowEvent {}

    /** What a follower sees of its connection to the leader. */
    enum LeaderSignal {
        /** A heartbeat came, and the leader is in contact with the store. */
        ALIVE,
        /** A heartbeat came, and the leader says that it has no contact with the store. */
        WITHOUT_STORE,
        /** The connection was reset or refused, as happens when the process ends. */
        REFUSED,
        /** The leader has announced that it stops. */
        RESIGNED
    }

    /**
     * An attempt to lead has ended.
     *
     * @param at when
     * @param result what the store answered
     */
    record ClaimCompleted(long at, ClaimResult result) implements WorkflowEvent {}

    /** The outcome of an attempt to lead. */
    sealed interface ClaimResult {
        /**
         * This entry leads.
         *
         * @param leader the record that was written
         * @param snapshot what the store holds
         */
        record Won(LeaderRecord leader, Snapshot snapshot) implements ClaimResult {}

        /** Another entry leads, or the outcome is not known. */
        record NotWon() implements ClaimResult {}
    }

    /**
     * The list of workers.
     *
     * @param at when
     * @param workers all entries that can be read, by identifier
     */
    record WorkersListed(long at, PMap<String, WorkerNode.Listing> workers)
            implements WorkflowEvent {}

    /**
     * The entries that can ask for advice.
     *
     * @param at when
     * @param advisors their names
     */
    record AdvisorsChanged(long at, PSet<String> advisors) implements WorkflowEvent {}

    /**
     * A worker has answered a lease call.
     *
     * @param at when the answer came
     * @param fence the fencing token of the leader that sent it
     * @param sentAt when the call was sent
     * @param worker the worker
     * @param report its answer
     */
    record LeaseRenewalAnswered(
            long at, long fence, long sentAt, String worker, WorkerReport report)
            implements FencedOutcome {}

    /**
     * A lease call has failed.
     *
     * @param at when
     * @param fence the fencing token of the leader that sent it
     * @param worker the worker
     * @param failure why
     */
    record LeaseRenewalFailed(long at, long fence, String worker, CommandOutcome failure)
            implements FencedOutcome {}

    /**
     * What a worker says of itself.
     *
     * @param incarnation when it started, in Unix milliseconds; names the incarnation
     * @param clockMillis its clock
     * @param running what runs there
     * @param ended what has ended and is not acknowledged
     */
    record WorkerReport(
            long incarnation,
            long clockMillis,
            PVector<RunningRun> running,
            PVector<EndedRun> ended) {}

    /**
     * A run that a worker lists as running.
     *
     * @param task the task
     * @param runNumber the number of the run
     * @param checkpoint its newest checkpoint, empty for none
     * @param speedPercent the share of its full speed
     */
    record RunningRun(TaskKey task, long runNumber, String checkpoint, long speedPercent) {}

    /**
     * A run that a worker lists as ended.
     *
     * @param sequence the number of the end in the incarnation
     * @param task the task
     * @param runNumber the number of the run
     * @param outcome how it ended
     * @param checkpoint its newest checkpoint, empty for none
     */
    record EndedRun(
            long sequence, TaskKey task, long runNumber, RunOutcome outcome, String checkpoint) {}

    /** How a run ended. */
    enum RunOutcome {
        /** With success. */
        DONE,
        /** With a failure of its own or of the worker. */
        FAILED,
        /** By a stop. */
        STOPPED,
        /** With its lease. */
        LAPSED,
        /** Because another member of its gang ended. */
        BROKEN,
        /** Because the other members of its gang did not come in time. */
        ALONE
    }

    /**
     * An order to start or stop a run has ended.
     *
     * @param at when
     * @param fence the fencing token of the leader that sent it
     * @param command what was ordered
     * @param outcome what came of it
     */
    record CommandCompleted(long at, long fence, WorkerCommand command, CommandOutcome outcome)
            implements FencedOutcome {}

    /**
     * An order to a worker.
     *
     * @param kind start or stop
     * @param worker the worker
     * @param task the task
     * @param runNumber the number of the run
     */
    record WorkerCommand(CommandKind kind, String worker, TaskKey task, long runNumber) {}

    /** Start or stop. */
    enum CommandKind {
        /** A start. */
        START,
        /** A stop. */
        STOP
    }

    /** What came of an order or a lease call. */
    enum CommandOutcome {
        /** The worker carried it out. */
        OK,
        /** Refused: the worker has seen a newer leader. */
        FENCED,
        /** Refused: the run is not newer than one stopped or ended there. */
        OLD,
        /** Refused: the lease of the order had passed. */
        LATE,
        /** Refused for want of room. */
        NO_ROOM,
        /** Refused for want of a valid ticket. */
        NO_TICKET,
        /** Refused by an unhealthy worker, which has done nothing. */
        UNHEALTHY,
        /** Refused because the message was not understood. */
        INVALID,
        /** Another worker has the address now. */
        OTHER_WORKER,
        /** No connection could be made, so that nothing was sent. */
        NOT_SENT,
        /** No answer; the order may be carried out later. */
        UNKNOWN
    }

    /**
     * The advice service has answered, or has not.
     *
     * @param at when the answer came
     * @param fence the fencing token of the leader that sent it
     * @param step the step
     * @param advisor the entry that asked
     * @param tickets the workers that may run the step with their tickets; empty if the call failed
     */
    record AdviceCompleted(
            long at,
            long fence,
            StepKey step,
            String advisor,
            Optional<Map<String, String>> tickets)
            implements FencedOutcome {}

    /**
     * A caller has sent a call.
     *
     * @param at when
     * @param request names the call in the answer
     * @param call what is asked
     */
    record CallArrived(long at, long request, Call call) implements WorkflowEvent {}

    /** A call of a caller, already checked against the configuration. */
    sealed interface Call {
        /** Returns the queue that is addressed. */
        String queue();

        /**
         * Hands in a job.
         *
         * @param queue the queue
         * @param team the caller's team, empty on open queues
         * @param job the identifier of the job
         * @param definition the job
         */
        record Submit(String queue, String team, String job, WorkflowDefinition definition)
                implements Call {}

        /**
         * Asks for the state of a job.
         *
         * @param queue the queue
         * @param job the job
         */
        record Query(String queue, String job) implements Call {}

        /**
         * Cancels a job.
         *
         * @param queue the queue
         * @param job the job
         */
        record Cancel(String queue, String job) implements Call {}

        /**
         * Asks how many jobs wait.
         *
         * @param queue the queue
         */
        record Count(String queue) implements Call {}
    }

    /**
     * A write to the store has ended.
     *
     * @param at when
     * @param fence the fencing token of the leader that sent it
     * @param batch the number of the write
     * @param result what the store answered
     */
    record CommitCompleted(long at, long fence, long batch, CommitResult result)
            implements FencedOutcome {}

    /** The outcome of a write. */
    sealed interface CommitResult {
        /**
         * The write is durable.
         *
         * @param revision its revision
         */
        record Stored(long revision) implements CommitResult {}

        /** Another entry leads; nothing was written. */
        record LostLeadership() implements CommitResult {}

        /** Nothing was written, or the outcome is not known; the same write may be sent again. */
        record Retry() implements CommitResult {}
    }

    /**
     * This entry is to stop.
     *
     * @param at when
     */
    record ResignRequested(long at) implements WorkflowEvent {}

    /**
     * Jobs and workers as the store holds them.
     *
     * @param jobs active jobs with their progress
     * @param finished jobs that have ended
     * @param fleet the workers that earlier leaders have used
     */
    record Snapshot(List<Job> jobs, List<FinishedJob> finished, List<WorkerNode.Listing> fleet) {
        /** Copies the lists. */
        public Snapshot {
            jobs = List.copyOf(jobs);
            finished = List.copyOf(finished);
            fleet = List.copyOf(fleet);
        }
    }
}
