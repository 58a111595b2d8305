package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.ShardId;

/**
 * A contiguous range of the tasks of a job that is assigned to one shard.
 *
 * @param shard the shard that runs the tasks
 * @param from the first task index
 * @param to the index after the last task
 * @param movingTo the shard to which the owner has announced to move the tasks; while a target is
 *     set, none of the tasks is started
 */
public record JobPart(ShardId shard, int from, int to, Optional<ShardId> movingTo) {
    /** Throws {@code IllegalArgumentException} if the range is empty or starts below 0. */
    public JobPart {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException(
                    "part must have at least 1 task: from " + from + " to " + to);
        }
    }

    /** Returns a part with the tasks from {@code from} (inclusive) to {@code to} (exclusive). */
    public static JobPart of(ShardId shard, int from, int to) {
        return new JobPart(shard, from, to, Optional.empty());
    }

    /** Returns whether the task {@code index} belongs to this part. */
    public boolean contains(int index) {
        return from <= index && index < to;
    }

    /** Returns the number of tasks; at least 1. */
    public int size() {
        return to - from;
    }
}
