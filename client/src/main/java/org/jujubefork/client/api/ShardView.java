package org.jujubefork.client.api;

/**
 * A shard as the answering entry sees it.
 *
 * @param shard the shard
 * @param owner the owning entry, empty if none is known
 * @param epoch the epoch, such as 12@e1#3
 * @param workers its workers
 * @param acquired workers that accepted the epoch
 * @param queued waiting requests and tasks
 * @param running running requests and tasks
 */
public record ShardView(
        String shard,
        String owner,
        String epoch,
        int workers,
        int acquired,
        int queued,
        int running) {}
