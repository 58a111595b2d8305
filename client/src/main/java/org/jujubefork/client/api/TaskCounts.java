package org.jujubefork.client.api;

/**
 * How far the tasks of a job are.
 *
 * @param total all tasks
 * @param started tasks that were started
 * @param succeeded tasks that succeeded
 * @param failed tasks that failed for good
 */
public record TaskCounts(int total, int started, int succeeded, int failed) {}
