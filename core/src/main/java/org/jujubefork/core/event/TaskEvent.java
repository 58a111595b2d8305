package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;

/** Results of start, stop, checkpoint and throttle commands to a worker. */
public sealed interface TaskEvent extends Event {
    /** Returns the identifier of the task. */
    TaskId task();

    /** Returns the identifier of the worker. */
    WorkerId worker();

    /**
     * The worker started a task of a job.
     *
     * @param atMillis when the answer arrived
     * @param worker identifier of the worker
     * @param task identifier of the task
     */
    record StartAccepted(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}

    /**
     * The worker refused the start, which proves that the task did not run.
     *
     * @param atMillis when the answer arrived
     * @param worker identifier of the worker
     * @param task identifier of the task
     * @param reason why the worker refused
     * @param currentEpoch the epoch that the worker has accepted; empty if the worker did not
     *     report its epoch
     */
    record StartRefused(
            long atMillis,
            WorkerId worker,
            TaskId task,
            StartRefusal reason,
            Optional<Epoch> currentEpoch)
            implements TaskEvent {}

    /**
     * No connection to the worker was established, which proves that the task did not run.
     *
     * @param atMillis when the connection attempt failed
     * @param worker identifier of the worker
     * @param task identifier of the task
     */
    record StartNotSent(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}

    /**
     * The start command was sent, but its outcome is unknown.
     *
     * @param atMillis when the connection broke or timed out
     * @param worker identifier of the worker
     * @param task identifier of the task
     * @param cause how the connection failed
     */
    record StartUnknown(long atMillis, WorkerId worker, TaskId task, String cause)
            implements TaskEvent {}

    /**
     * A request ran, and its complete answer was received.
     *
     * @param atMillis when the complete answer had been received
     * @param worker identifier of the worker
     * @param task identifier of the task
     * @param succeeded whether the worker reported success
     * @param answerBytes length of the answer, in bytes
     */
    record RequestFinished(
            long atMillis, WorkerId worker, TaskId task, boolean succeeded, long answerBytes)
            implements TaskEvent {}

    /**
     * A lookup ran and failed without an answer.
     *
     * @param atMillis when the failure was reported
     * @param worker identifier of the worker
     * @param task identifier of the task
     * @param message the worker's description of the failure
     */
    record LookupFailed(long atMillis, WorkerId worker, TaskId task, String message)
            implements TaskEvent {}

    /**
     * The worker confirmed that a task has stopped or will never start.
     *
     * @param atMillis when the answer arrived
     * @param worker identifier of the worker
     * @param task identifier of the task
     */
    record StopConfirmed(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}

    /**
     * The worker did not answer a stop, checkpoint or throttle command.
     *
     * @param atMillis when the command timed out or its connection failed
     * @param worker identifier of the worker
     * @param task identifier of the task
     */
    record StopFailed(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}
}
