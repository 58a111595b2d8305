package org.jujubefork.client.api;

/**
 * Range of a job's tasks that one shard runs.
 *
 * @param shard shard that runs the range
 * @param from index of the first task
 * @param to index after the last task
 * @param started number of tasks started so far
 * @param succeeded number of tasks that succeeded
 * @param failed number of tasks that failed permanently
 */
public record JobPartView(String shard, int from, int to, int started, int succeeded, int failed) {}
