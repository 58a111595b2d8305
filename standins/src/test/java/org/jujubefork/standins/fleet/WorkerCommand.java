package org.jujubefork.standins.fleet;

import java.util.List;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;

/** What changes a worker's state. */
sealed interface WorkerCommand {
    record Lease(Epoch epoch, long ttlNanos) implements WorkerCommand {}

    /**
     * Renews the lease.
     *
     * @param seen the revision of the owner's last answer, 0 for none
     */
    record Renew(Epoch epoch, long ttlNanos, List<TaskId> acknowledged, long seen)
            implements WorkerCommand {
        Renew(Epoch epoch, long ttlNanos, List<TaskId> acknowledged) {
            this(epoch, ttlNanos, acknowledged, 0);
        }
    }

    record Start(Epoch epoch, long incarnation, TaskSpec spec, TaskBehavior behavior)
            implements WorkerCommand {}

    record Stop(Epoch epoch, TaskId task) implements WorkerCommand {}

    record Checkpoint(Epoch epoch, TaskId task) implements WorkerCommand {}

    record Throttle(Epoch epoch, TaskId task, long cpuMillis) implements WorkerCommand {}

    /** Time passed: ends tasks and leases that are due. */
    record Tick() implements WorkerCommand {}

    record SetLeaving(boolean on) implements WorkerCommand {}

    record SetFailStarts(boolean on) implements WorkerCommand {}

    /** The worker restarts: all tasks are lost and it has a new incarnation. */
    record Restart() implements WorkerCommand {}
}
