package org.jujubefork.core.workflow;

/**
 * Adds the occurrences of jobs when they become due. A job without a schedule has one occurrence,
 * which is due at once.
 */
final class Schedules {
    private Schedules() {}

    static WorkflowTransition makeOccurrencesDue(WorkflowState state) {
        WorkflowState next = state;
        for (Job job : state.jobs().values()) {
            if (job.isActive() && job.stored()) {
                Job due = withDueOccurrences(job, state.wallMillis());
                if (due != job) {
                    next = next.with(due).withPlacementDue(true);
                }
            }
        }
        return WorkflowTransition.of(next);
    }

    /** Returns {@code job} with all occurrences that are due at {@code wallMillis}, a Unix time. */
    static Job withDueOccurrences(Job job, long wallMillis) {
        Job result = job;
        int count = job.definition().occurrenceCount();
        for (int i = result.occurrences().size(); i < count; i++) {
            if (job.definition().dueMillis(i) > wallMillis) {
                return result;
            }
            result = result.withOccurrence(i);
        }
        return result;
    }
}
