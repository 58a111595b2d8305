package org.jujubefork.client.api;

/**
 * A shard as seen by the responding entry.
 *
 * @param shard identifier of the shard
 * @param owner entry that owns the shard, empty if none is known
 * @param epoch epoch of the owner, such as {@code 12@e1#3}
 * @param workers number of workers in the shard
 * @param acquired number of workers that accepted the epoch
 * @param queued number of waiting requests and tasks
 * @param running number of running requests and tasks
 */
public record ShardView(
        String shard,
        String owner,
        String epoch,
        int workers,
        int acquired,
        int queued,
        int running) {}
