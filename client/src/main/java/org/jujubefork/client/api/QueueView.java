package org.jujubefork.client.api;

/**
 * Backlog of a queue, summed over all known shards.
 *
 * @param queue name of the queue
 * @param team team to which the queue belongs
 * @param kind kind of work, such as {@code lookup}
 * @param queued number of waiting requests and tasks
 * @param oldestWaitMillis age of the oldest waiting request or task, in milliseconds
 */
public record QueueView(
        String queue, String team, String kind, int queued, long oldestWaitMillis) {}
