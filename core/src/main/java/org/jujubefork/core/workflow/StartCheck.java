package org.jujubefork.core.workflow;

import java.util.HashSet;
import java.util.Set;
import org.jujubefork.core.workflow.CellConfiguration.Queue;

/**
 * Decides whether assigned tasks may still start on their workers. Start commands pass this check
 * in the event that sends them, because the wait for a ticket or for a confirmed leadership may
 * take seconds. Meanwhile a worker can drain, or restart with another service, other labels or
 * another capacity.
 */
final class StartCheck {
    private StartCheck() {}

    /** Returns the workers of assigned tasks of {@code progress} on which these may not start. */
    static Set<String> closedWorkers(
            WorkflowState state, StepDefinition step, Queue queue, StepProgress progress) {
        Set<String> closedWorkers = new HashSet<>();
        for (Task task : progress.tasks()) {
            WorkerNode node = state.workers().get(task.worker());
            if (task.phase() == Task.Phase.ASSIGNED
                    && (node == null || !mayStart(state, step, queue, node))) {
                closedWorkers.add(task.worker());
            }
        }
        return closedWorkers;
    }

    private static boolean mayStart(
            WorkflowState state, StepDefinition step, Queue queue, WorkerNode node) {
        return state.isOpenForStarts(node)
                && StepFit.isEligible(step, queue, node)
                && !node.isOverCapacity();
    }
}
