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
 * @param lasting declared sizes of services and gang tasks, which do not make room soon
 * @param usedSlots requests
 * @param tasks the tasks
 * @param finite how many tasks of batch and gang jobs, which end by themselves
 * @param newestFiniteMillis when the newest of them was placed
 */
public record Load(
        Resources committed,
        Resources observed,
        Resources lasting,
        int usedSlots,
        PSortedSet<TaskId> tasks,
        int finite,
        long newestFiniteMillis) {
    /** No tasks. */
    static final Load NONE =
            new Load(Resources.ZERO, Resources.ZERO, Resources.ZERO, 0, TreePSet.empty(), 0, 0);

    /** Returns the larger of both sums, component by component. */
    public Resources taken() {
        return committed.max(observed);
    }

    Load plus(RunningTask task) {
        Resources size = task.spec().size();
        return new Load(
                committed.plus(size),
                observed.plus(task.charge()),
                isLasting(task) ? lasting.plus(size) : lasting,
                usedSlots + slotsOf(task),
                tasks.plus(task.spec().id()),
                finite + finiteOf(task),
                finiteOf(task) > 0
                        ? Math.max(newestFiniteMillis, task.placedAtMillis())
                        : newestFiniteMillis);
    }

    Load minus(RunningTask task) {
        Resources size = task.spec().size();
        return new Load(
                committed.minus(size),
                observed.minus(task.charge()),
                isLasting(task) ? lasting.minus(size) : lasting,
                usedSlots - slotsOf(task),
                tasks.minus(task.spec().id()),
                finite - finiteOf(task),
                newestFiniteMillis);
    }

    Load recharged(Resources before, Resources after) {
        return new Load(
                committed,
                observed.minus(before).plus(after),
                lasting,
                usedSlots,
                tasks,
                finite,
                newestFiniteMillis);
    }

    private static boolean isLasting(RunningTask task) {
        WorkKind kind = task.spec().kind();
        return kind == WorkKind.SERVICE || kind == WorkKind.GANG;
    }

    private static int finiteOf(RunningTask task) {
        WorkKind kind = task.spec().kind();
        return kind == WorkKind.BATCH || kind == WorkKind.GANG ? 1 : 0;
    }

    private static int slotsOf(RunningTask task) {
        return task.spec().kind().isRequest() ? 1 : 0;
    }
}
