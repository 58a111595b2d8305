package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.ShardId;

/**
 * The tasks of a job that one shard runs.
 *
 * @param shard the shard
 * @param from the first task index
 * @param to the index after the last one
 * @param movingTo the shard to which the owner is about to move the tasks, none of which is started
 *     while this is set
 */
public record JobPart(ShardId shard, int from, int to, Optional<ShardId> movingTo) {
    /** Checks the range. */
    public JobPart {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException(
                    "a part must hold at least one task: " + from + " to " + to);
        }
    }

    /** Returns the tasks from {@code from} to before {@code to} in {@code shard}. */
    public static JobPart of(ShardId shard, int from, int to) {
        return new JobPart(shard, from, to, Optional.empty());
    }

    /** Returns whether the task {@code index} belongs to this part. */
    public boolean contains(int index) {
        return from <= index && index < to;
    }

    /** Returns how many tasks the part has. */
    public int size() {
        return to - from;
    }
}
