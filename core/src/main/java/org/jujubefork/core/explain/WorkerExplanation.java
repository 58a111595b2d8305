package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerId;

/**
 * How a worker stands.
 *
 * @param worker the worker
 * @param shard its shard
 * @param owner the entry that owns the shard; empty if none is known
 * @param condition whether it takes work
 * @param leaseSentMillis send time of the newest request that it granted, in milliseconds of the
 *     answering entry's clock; empty if this entry does not own it or was granted none
 * @param capacity what it holds in all
 * @param committed declared sizes of what is placed on it; zero if another entry owns it
 * @param tasks how many tasks are placed on it; 0 if another entry owns it
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
    /** Whether a worker takes work. */
    public enum Condition {
        /** It takes work. */
        ACTIVE,
        /** Its lease was asked for and not yet granted. */
        ACQUIRING,
        /** It does not answer; its tasks may run until the lease is over. */
        UNREACHABLE,
        /** It takes no new work because it leaves. */
        LEAVING,
        /** It takes no work because it fails what it starts. */
        QUARANTINED,
        /** Another entry owns it. */
        OTHER_OWNER,
        /** No live owner is known. */
        NO_OWNER
    }
}
