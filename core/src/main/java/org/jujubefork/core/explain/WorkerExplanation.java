package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerId;

/**
 * The current state of a worker.
 *
 * @param worker identifier of the worker
 * @param shard the shard to which the worker belongs
 * @param owner the entry that owns the shard, as {@code name#incarnation}; empty if no live owner
 *     is known
 * @param condition whether the worker accepts work, and if not, why
 * @param leaseSentMillis send time of the latest lease request that the worker granted, in
 *     milliseconds of this entry's monotonic clock; empty if this entry holds no lease on it
 * @param capacity total capacity of the worker
 * @param committed sum of the declared sizes of the tasks placed on the worker; zero if another
 *     entry owns the shard
 * @param tasks number of tasks placed on the worker; 0 if another entry owns the shard
 */
public record WorkerExplanation(
        WorkerId worker,
        ShardId shard,
        Optional<String> owner,
        Condition condition,
        Optional<Long> leaseSentMillis,
        Resources capacity,
        Resources committed,
        int tasks) {
    /** Whether a worker accepts work, and if not, why. */
    public enum Condition {
        /** The worker accepts work. */
        ACTIVE,
        /** This entry requested the lease on the worker, which has not granted it yet. */
        ACQUIRING,
        /** The worker does not answer; its tasks may run until its lease expires. */
        UNREACHABLE,
        /** The worker accepts no new work because it is about to leave the fleet. */
        LEAVING,
        /** The worker gets no work because too many tasks failed on it. */
        QUARANTINED,
        /** Another entry owns the worker's shard. */
        OTHER_OWNER,
        /** No live owner of the worker's shard is known. */
        NO_OWNER
    }
}
