package org.jujubefork.core.workflow;

import java.util.List;

/**
 * A job as its caller handed it in.
 *
 * @param payload opaque text for the tasks
 * @param steps the steps; a step depends on earlier ones only
 * @param scheduledCount how often the steps run on a schedule, 0 for a job that runs once, at once
 * @param firstDueMillis when the first occurrence is due, in Unix milliseconds
 * @param intervalMillis time between two occurrences
 */
public record WorkflowDefinition(
        String payload,
        List<StepDefinition> steps,
        int scheduledCount,
        long firstDueMillis,
        long intervalMillis) {
    /** Checks the steps and their dependencies. */
    public WorkflowDefinition {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job has at least one step");
        }
        if (scheduledCount < 0 || intervalMillis < 0) {
            throw new IllegalArgumentException("negative schedule");
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int dependency : steps.get(i).dependencies()) {
                if (dependency < 0 || dependency >= i) {
                    throw new IllegalArgumentException("step " + i + " depends on " + dependency);
                }
            }
        }
    }

    /** Returns the number of occurrences. */
    public int occurrenceCount() {
        return Math.max(1, scheduledCount);
    }

    /** Returns when {@code occurrence} is due in Unix milliseconds; 0 means at once. */
    public long dueMillis(int occurrence) {
        return scheduledCount == 0 ? 0 : firstDueMillis + occurrence * intervalMillis;
    }
}
