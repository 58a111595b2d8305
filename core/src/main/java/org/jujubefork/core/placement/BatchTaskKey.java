package org.jujubefork.core.placement;

import org.jujubefork.core.model.TaskId;

/**
 * The key of a batch task, ordered by the time at which the task was placed.
 *
 * @param placedAtMillis when it was placed
 * @param task the task
 */
public record BatchTaskKey(long placedAtMillis, TaskId task) implements Comparable<BatchTaskKey> {
    /** Returns the key of {@code task}. */
    static BatchTaskKey of(RunningTask task) {
        return new BatchTaskKey(task.placedAtMillis(), task.spec().id());
    }

    @Override
    public int compareTo(BatchTaskKey other) {
        int byTime = Long.compare(placedAtMillis, other.placedAtMillis);
        return byTime != 0 ? byTime : task.compareTo(other.task);
    }
}
