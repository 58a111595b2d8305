package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PVector;

/**
 * The current state of the part of a job that is assigned to one shard.
 *
 * @param shard identifier of the shard
 * @param owner the entry that owns the shard, as {@code name#incarnation}; empty if no live owner
 *     is known
 * @param tasks number of tasks in this part
 * @param running number of tasks placed on workers; 0 if another entry owns the shard
 * @param queued number of tasks in the queue; 0 if another entry owns the shard
 * @param delayed number of failed tasks whose retry delay has not passed; 0 if another entry owns
 *     the shard
 * @param waitingSinceMillis since when the oldest queued task waits, in milliseconds of this
 *     entry's monotonic clock; empty if no task is queued
 * @param waits reasons why tasks wait
 * @param rejections number of workers that cannot run the oldest queued task, by reason; empty if
 *     no task is queued or another entry owns the shard
 */
public record JobPartExplanation(
        ShardId shard,
        Optional<String> owner,
        int tasks,
        int running,
        int queued,
        int delayed,
        Optional<Long> waitingSinceMillis,
        PVector<Wait> waits,
        Optional<RejectionCounts> rejections) {}
