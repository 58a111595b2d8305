package org.jujubefork.core.effect;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PVector;

/** Commands to a worker. Each carries the owner's epoch, which the worker uses as fencing token. */
public sealed interface WorkerEffect extends Effect {
    /** Returns host and port of the worker's API. */
    String address();

    /**
     * Acquires the lease on a worker.
     *
     * @param worker identifier of the worker
     * @param address host and port of the worker's API
     * @param epoch the epoch of the shard's owner
     * @param ttlMillis how long the lease lasts without renewal, in milliseconds
     */
    record AcquireLease(WorkerId worker, String address, Epoch epoch, long ttlMillis)
            implements WorkerEffect {}

    /**
     * Renews the lease on a worker.
     *
     * @param worker identifier of the worker
     * @param address host and port of the worker's API
     * @param epoch the epoch of the shard's owner
     * @param ttlMillis how long the lease lasts without renewal, in milliseconds
     * @param acknowledged ended tasks that the worker need not report any more
     */
    record RenewLease(
            WorkerId worker,
            String address,
            Epoch epoch,
            long ttlMillis,
            PVector<TaskId> acknowledged)
            implements WorkerEffect {}

    /**
     * Starts a task.
     *
     * @param worker identifier of the worker
     * @param address host and port of the worker's API
     * @param epoch the epoch of the shard's owner
     * @param incarnation the incarnation of the worker for which the placement was made
     * @param task the task to start
     * @param request the request whose body is the input and whose caller receives the answer;
     *     empty for tasks of jobs
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
     * Stops or slows down a task.
     *
     * @param worker identifier of the worker
     * @param address host and port of the worker's API
     * @param epoch the epoch of the shard's owner
     * @param task identifier of the task
     * @param mode whether to stop, checkpoint or throttle the task
     */
    record StopTask(WorkerId worker, String address, Epoch epoch, TaskId task, StopMode mode)
            implements WorkerEffect {}
}
