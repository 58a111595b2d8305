package org.jujubefork.core.jobs;

import org.jujubefork.core.model.ShardId;

/**
 * The tasks of a job that one shard runs.
 *
 * @param shard the shard
 * @param from the first task index
 * @param to the index after the last one
 */
public record JobPart(ShardId shard, int from, int to) {
    /** Checks the range. */
    public JobPart {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException(
                    "a part must hold at least one task: " + from + " to " + to);
        }
    }
}
