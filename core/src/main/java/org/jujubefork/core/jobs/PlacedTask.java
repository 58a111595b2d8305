package org.jujubefork.core.jobs;

import org.jujubefork.core.model.TaskId;

/**
 * A task of a job that is placed on a worker.
 *
 * @param task the task
 * @param attempt the attempt, or the run of a gang
 * @param placedAtMillis when it was placed or found on the worker
 */
public record PlacedTask(TaskId task, int attempt, long placedAtMillis) {}
