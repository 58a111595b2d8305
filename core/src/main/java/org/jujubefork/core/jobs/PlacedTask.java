package org.jujubefork.core.jobs;

import org.jujubefork.core.model.TaskId;

/**
 * A task of a job that is placed on a worker.
 *
 * @param task the id of the task
 * @param attempt the number of the attempt, or of the run of a gang
 * @param placedAtMillis when the task was placed, or first reported by the worker
 */
public record PlacedTask(TaskId task, int attempt, long placedAtMillis) {}
