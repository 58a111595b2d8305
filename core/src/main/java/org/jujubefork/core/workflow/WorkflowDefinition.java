package org.jujubefork.core.workflow;

import java.util.List;

/**
 * A job as its caller submitted it.
 *
 * @param payload opaque text that is passed to each task
 * @param steps the steps; a step depends only on earlier ones
 * @param scheduledCount the number of occurrences of a job with a schedule, 0 for a job that runs
 *     once and is due at once
 * @param firstDueMillis when the first occurrence is due, in Unix milliseconds
 * @param intervalMillis the time between two occurrences
 */
public record WorkflowDefinition(
        String payload,
        List<StepDefinition> steps,
        int scheduledCount,
        long firstDueMillis,
        long intervalMillis) {
    /** Checks the schedule and that each step depends only on earlier ones. */
    public WorkflowDefinition {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job must have at least one step");
        }
        if (scheduledCount < 0 || intervalMillis < 0) {
            throw new IllegalArgumentException("negative number of occurrences or interval");
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int dependency : steps.get(i).dependencies()) {
                if (dependency < 0 || dependency >= i) {
                    throw new IllegalArgumentException(
                            "step " + i + " depends on step that is not earlier: " + dependency);
                }
            }
        }
    }

    /**
     * Returns the CPU in millicores that the steps occupy which are ready as soon as the job is
     * accepted; 0 for a job with a schedule.
     */
    long initialMillicores() {
        return scheduledCount > 0
                ? 0
                : steps.stream()
                        .filter(s -> s.dependencies().isEmpty())
                        .mapToLong(s -> s.taskCount() * s.chargedCapacity().cpuMillis())
                        .sum();
    }

    /**
     * Returns whether the job should complete within some time. Scheduled jobs and jobs with
     * services have no such target, because they must run however old they are.
     */
    boolean isTimely() {
        return scheduledCount == 0 && steps.stream().noneMatch(StepDefinition::service);
    }

    /** Returns the number of occurrences, at least 1. */
    public int occurrenceCount() {
        return Math.max(1, scheduledCount);
    }

    /**
     * Returns when {@code occurrence} is due in Unix milliseconds, or 0 for a job without a
     * schedule.
     */
    public long dueMillis(int occurrence) {
        return scheduledCount == 0 ? 0 : firstDueMillis + occurrence * intervalMillis;
    }
}
