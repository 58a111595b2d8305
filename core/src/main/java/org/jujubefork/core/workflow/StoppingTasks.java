package org.jujubefork.core.workflow;

import java.util.HashSet;
import java.util.Set;

/**
 * The tasks with a run that was stopped and is not known to have ended. Such a task must not start
 * elsewhere, even if a newer run of it has ended meanwhile.
 *
 * @param tasks the tasks
 */
record StoppingTasks(Set<TaskKey> tasks) {
    /** Copies the set. */
    StoppingTasks {
        tasks = Set.copyOf(tasks);
    }

    static StoppingTasks of(WorkflowState state) {
        Set<TaskKey> tasks = new HashSet<>();
        for (WorkerNode node : state.workers().values()) {
            for (TaskKey task : node.charges().keySet()) {
                if (node.charges().get(task).stopping()) {
                    tasks.add(task);
                }
            }
        }
        return new StoppingTasks(tasks);
    }

    boolean contains(TaskKey task) {
        return tasks.contains(task);
    }
}
