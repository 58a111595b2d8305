package org.jujubefork.core.effect;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PVector;

/** Commands to a worker. Each carries the epoch, which the worker checks. */
public sealed interface WorkerEffect extends Effect {
    /** Returns the address of the worker's interface. */
    String address();

    /**
     * Take the lease of a worker.
     *
     * @param worker the worker
     * @param address its address
     * @param epoch the owner's authority
     * @param ttlMillis how long the lease runs without renewal, in milliseconds
     */
    record AcquireLease(WorkerId worker, String address, Epoch epoch, long ttlMillis)
            implements WorkerEffect {}

    /**
     * Renew the lease of a worker.
     *
     * @param worker the worker
     * @param address its address
     * @param epoch the owner's authority
     * @param ttlMillis how long the lease runs without renewal, in milliseconds
     * @param acknowledged ended tasks that the worker may forget
     */
    record RenewLease(
            WorkerId worker,
            String address,
            Epoch epoch,
            long ttlMillis,
            PVector<TaskId> acknowledged)
            implements WorkerEffect {}

    /**
     * Start a task.
     *
     * @param worker the worker
     * @param address its address
     * @param epoch the owner's authority
     * @param incarnation the worker's run for which the placement was made
     * @param task the task
     * @param request the request whose body is the input and whose caller gets the answer; empty
     *     for tasks of jobs
     */
    record StartTask(
            WorkerId worker,
            String address,
            Epoch epoch,
            long incarnation,
            TaskSpec task,
            Optional<RequestId> request)
            implements WorkerEffect {}

    /**
     * End or slow down a task.
     *
     * @param worker the worker
     * @param address its address
     * @param epoch the owner's authority
     * @param task the task
     * @param mode how
     */
    record StopTask(WorkerId worker, String address, Epoch epoch, TaskId task, StopMode mode)
            implements WorkerEffect {}
}
