package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;

/** What became of a command to a worker about one task. */
public sealed interface TaskEvent extends Event {
    /** Returns the task. */
    TaskId task();

    /** Returns the worker. */
    WorkerId worker();

    /**
     * The worker started a task of a job.
     *
     * @param atMillis when the answer arrived
     * @param worker the worker
     * @param task the task
     */
    record StartAccepted(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}

    /**
     * The worker refused the start, which proves that the task did not run.
     *
     * @param atMillis when the answer arrived
     * @param worker the worker
     * @param task the task
     * @param reason why
     * @param currentEpoch the epoch that the worker keeps, if it said so
     */
    record StartRefused(
            long atMillis,
            WorkerId worker,
            TaskId task,
            StartRefusal reason,
            Optional<Epoch> currentEpoch)
            implements TaskEvent {}

    /**
     * No connection to the worker was made, which proves that the task did not run.
     *
     * @param atMillis when that was found
     * @param worker the worker
     * @param task the task
     */
    record StartNotSent(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}

    /**
     * The start was sent, but what became of it is not known.
     *
     * @param atMillis when the connection was given up
     * @param worker the worker
     * @param task the task
     * @param cause what happened to the connection
     */
    record StartUnknown(long atMillis, WorkerId worker, TaskId task, String cause)
            implements TaskEvent {}

    /**
     * A request ran and its whole answer was received.
     *
     * @param atMillis when
     * @param worker the worker
     * @param task the task
     * @param succeeded whether the worker reported success
     * @param answerBytes length of the answer
     */
    record RequestFinished(
            long atMillis, WorkerId worker, TaskId task, boolean succeeded, long answerBytes)
            implements TaskEvent {}

    /**
     * A lookup ran, failed, and gave no answer.
     *
     * @param atMillis when
     * @param worker the worker
     * @param task the task
     * @param message what the worker says about the failure
     */
    record LookupFailed(long atMillis, WorkerId worker, TaskId task, String message)
            implements TaskEvent {}

    /**
     * The worker confirmed that a task is stopped, or will never start.
     *
     * @param atMillis when the answer arrived
     * @param worker the worker
     * @param task the task
     */
    record StopConfirmed(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}

    /**
     * The worker did not answer a stop, checkpoint or throttle command.
     *
     * @param atMillis when that was found
     * @param worker the worker
     * @param task the task
     */
    record StopFailed(long atMillis, WorkerId worker, TaskId task) implements TaskEvent {}
}
