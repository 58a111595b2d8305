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
        Set<String> closedWorkers = assignedWorkers(progress);
        closedWorkers.removeIf(w -> mayStart(state, step, queue, state.workers().get(w)));
        return closedWorkers;
    }

    private static Set<String> assignedWorkers(StepProgress progress) {
        Set<String> workers = new HashSet<>();
        for (Task task : progress.tasks()) {
            if (task.phase() == Task.Phase.ASSIGNED) {
                workers.add(task.worker());
            }
        }
        return workers;
    }

    /** Returns whether tasks of {@code step} may start on {@code node}, which is null if gone. */
    private static boolean mayStart(
            WorkflowState state, StepDefinition step, Queue queue, WorkerNode node) {
        return node != null
                && state.isOpenForStarts(node)
                && StepFit.isEligible(step, queue, node)
                && !node.isOverCapacity();
    }
}
