package org.jujubefork.client.api;

/**
 * A request or a task of a job.
 *
 * @param id identifier of the attempt
 * @param job identifier of the job, empty for requests
 * @param index index of the task in the job, -1 for requests
 * @param attempt number of the attempt, from 1
 * @param team team whose usage includes the task
 * @param queue name of the queue
 * @param kind kind of work, such as {@code lookup} or {@code batch}
 * @param state {@code queued}, {@code starting}, {@code running} or {@code ending}
 * @param worker identifier of the worker, empty while queued
 * @param shard identifier of the shard
 * @param size amount of resources assumed for placement
 * @param ageMillis time in this state in milliseconds
 */
public record TaskView(
        String id,
        String job,
        int index,
        int attempt,
        String team,
        String queue,
        String kind,
        String state,
        String worker,
        String shard,
        ResourcesView size,
        long ageMillis) {}
