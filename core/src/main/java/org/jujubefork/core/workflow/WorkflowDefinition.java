package org.jujubefork.core.workflow;

import java.util.List;

/**
 * A job as its caller handed it in.
 *
 * @param payload opaque text for the tasks
 * @param steps the steps; a step depends on earlier ones only
 * @param times how often the steps run on a schedule, 0 for a job that runs once, at once
 * @param firstMillis when the first occurrence is due, in Unix milliseconds
 * @param intervalMillis time between two occurrences
 */
public record WorkflowDefinition(
        String payload,
        List<StepDefinition> steps,
        int times,
        long firstMillis,
        long intervalMillis) {
    /** Checks the steps and their dependencies. */
    public WorkflowDefinition {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job has at least one step");
        }
        if (times < 0 || intervalMillis < 0) {
            throw new IllegalArgumentException("negative schedule");
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                if (before < 0 || before >= i) {
                    throw new IllegalArgumentException("step " + i + " depends on " + before);
                }
            }
        }
    }

    /** Returns the number of occurrences. */
    public int occurrences() {
        return Math.max(1, times);
    }

    /** Returns when {@code occurrence} is due in Unix milliseconds; 0 means at once. */
    public long dueMillis(int occurrence) {
        return times == 0 ? 0 : firstMillis + occurrence * intervalMillis;
    }
}
