package org.jujubefork.client.api;

/**
 * A request or a task of a job.
 *
 * @param id the attempt
 * @param job the job, empty for requests
 * @param index the index in the job, -1 for requests
 * @param attempt the attempt, from 1
 * @param team the team that is charged
 * @param queue the queue
 * @param kind the kind of work
 * @param state queued, starting, running or ending
 * @param worker the worker, empty while queued
 * @param shard the shard
 * @param size the size that it is placed with
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
