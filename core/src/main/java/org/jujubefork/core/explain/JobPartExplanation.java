package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PVector;

/**
 * How the part of a job in one shard stands.
 *
 * @param shard the shard
 * @param owner the entry that owns it, as {@code name#incarnation}; empty if none is known
 * @param tasks how many tasks the part has
 * @param running tasks on workers; 0 if another entry owns the shard
 * @param queued tasks in the queue; 0 if another entry owns the shard
 * @param delayed failed tasks that wait before they are queued again
 * @param waitingSinceMillis since when the oldest queued task waits, in milliseconds of the
 *     answering entry's clock; empty if none does
 * @param waits why tasks wait
 * @param rejections workers by the reason for which they were not chosen; empty if another entry
 *     owns the shard
 */
public record JobPartExplanation(
        ShardId shard,
        Optional<String> owner,
        int tasks,
        int running,
        int queued,
        int delayed,
        Optional<Long> waitingSinceMillis,
        PVector<WaitExplanation> waits,
        Optional<RejectionCounts> rejections) {}
