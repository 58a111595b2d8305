package org.jujubefork.core.placement;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * What the tasks on a worker take.
 *
 * @param committed declared sizes
 * @param observed sizes by experience
 * @param longRunning declared sizes of services and gang tasks, which do not make room soon
 * @param usedSlots requests
 * @param tasks the tasks
 * @param finiteTasks how many tasks of batch and gang jobs, which end by themselves
 * @param newestFinitePlacedAtMillis when the newest of them was placed
 */
public record WorkerLoad(
        Resources committed,
        Resources observed,
        Resources longRunning,
        int usedSlots,
        PSortedSet<TaskId> tasks,
        int finiteTasks,
        long newestFinitePlacedAtMillis) {
    /** No tasks. */
    static final WorkerLoad NONE =
            new WorkerLoad(
                    Resources.ZERO, Resources.ZERO, Resources.ZERO, 0, TreePSet.empty(), 0, 0);

    /** Returns the larger of both sums, component by component. */
    public Resources used() {
        return committed.max(observed);
    }

    WorkerLoad plus(RunningTask task) {
        Resources size = task.spec().size();
        return new WorkerLoad(
                committed.plus(size),
                observed.plus(task.charge()),
                isLongRunning(task) ? longRunning.plus(size) : longRunning,
                usedSlots + slotsOf(task),
                tasks.plus(task.spec().id()),
                finiteTasks + finiteCountOf(task),
                finiteCountOf(task) > 0
                        ? Math.max(newestFinitePlacedAtMillis, task.placedAtMillis())
                        : newestFinitePlacedAtMillis);
    }

    WorkerLoad minus(RunningTask task) {
        Resources size = task.spec().size();
        return new WorkerLoad(
                committed.minus(size),
                observed.minus(task.charge()),
                isLongRunning(task) ? longRunning.minus(size) : longRunning,
                usedSlots - slotsOf(task),
                tasks.minus(task.spec().id()),
                finiteTasks - finiteCountOf(task),
                newestFinitePlacedAtMillis);
    }

    WorkerLoad withChangedCharge(Resources before, Resources after) {
        return new WorkerLoad(
                committed,
                observed.minus(before).plus(after),
                longRunning,
                usedSlots,
                tasks,
                finiteTasks,
                newestFinitePlacedAtMillis);
    }

    private static boolean isLongRunning(RunningTask task) {
        WorkKind kind = task.spec().kind();
        return kind == WorkKind.SERVICE || kind == WorkKind.GANG;
    }

    private static int finiteCountOf(RunningTask task) {
        WorkKind kind = task.spec().kind();
        return kind == WorkKind.BATCH || kind == WorkKind.GANG ? 1 : 0;
    }

    private static int slotsOf(RunningTask task) {
        return task.spec().kind().isRequest() ? 1 : 0;
    }
}
