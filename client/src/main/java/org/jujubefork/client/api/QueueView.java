package org.jujubefork.client.api;

/**
 * How full a queue is, over all shards that are known.
 *
 * @param queue the queue
 * @param team the team that is charged
 * @param kind the kind of work
 * @param queued waiting requests and tasks
 * @param oldestWaitMillis the longest present waiting time in milliseconds
 */
public record QueueView(
        String queue, String team, String kind, int queued, long oldestWaitMillis) {}
