package org.jujubefork.client.api;

/**
 * Numbers of a job's tasks by progress.
 *
 * @param total number of tasks of the job
 * @param started number of tasks started so far
 * @param succeeded number of tasks that succeeded
 * @param failed number of tasks that failed permanently
 */
public record TaskCounts(int total, int started, int succeeded, int failed) {}
