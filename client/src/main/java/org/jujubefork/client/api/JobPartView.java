package org.jujubefork.client.api;

/**
 * The part of a job that one shard runs.
 *
 * @param shard the shard
 * @param from index of its first task
 * @param to index after its last task
 * @param started tasks that were started
 * @param succeeded tasks that succeeded
 * @param failed tasks that failed for good
 */
public record JobPartView(String shard, int from, int to, int started, int succeeded, int failed) {}
