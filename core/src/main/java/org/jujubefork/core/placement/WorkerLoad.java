package org.jujubefork.core.placement;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * The resources and slots that the tasks on a worker occupy.
 *
 * @param committed the sum of declared sizes
 * @param observed the sum of charges, which follow learned sizes and reported usage
 * @param longRunning the sum of declared sizes of services and gang tasks, which are not expected
 *     to free capacity soon
 * @param usedSlots the number of request slots in use, one per request
 * @param tasks the ids of the tasks on the worker
 * @param finiteTaskCount the number of batch and gang tasks, which end by themselves
 * @param newestFinitePlacedAtMillis when the newest batch or gang task was placed; 0 if there was
 *     none
 */
public record WorkerLoad(
        Resources committed,
        Resources observed,
        Resources longRunning,
        int usedSlots,
        PSortedSet<TaskId> tasks,
        int finiteTaskCount,
        long newestFinitePlacedAtMillis) {
    /** The load of a worker without tasks. */
    static final WorkerLoad NONE =
            new WorkerLoad(
                    Resources.ZERO, Resources.ZERO, Resources.ZERO, 0, TreePSet.empty(), 0, 0);

    /** Returns the larger of the committed and the observed resources, component by component. */
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
                finiteTaskCount + finiteCountOf(task),
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
                finiteTaskCount - finiteCountOf(task),
                newestFinitePlacedAtMillis);
    }

    WorkerLoad withCharge(Resources before, Resources after) {
        return new WorkerLoad(
                committed,
                observed.minus(before).plus(after),
                longRunning,
                usedSlots,
                tasks,
                finiteTaskCount,
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
