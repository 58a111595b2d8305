package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.model.Resources;

/** Creates steps of jobs for tests. Options for which a method has no parameter are off. */
final class TestSteps {
    private TestSteps() {}

    /** Returns a step of {@code taskCount} tasks without dependencies. */
    static StepDefinition step(int taskCount, Resources size, long estimateMillis) {
        return step(taskCount, size, estimateMillis, List.of(), false, false);
    }

    /** Returns a step that depends on the steps {@code dependencies}. */
    static StepDefinition step(
            int taskCount,
            Resources size,
            long estimateMillis,
            List<Integer> dependencies,
            boolean isGang) {
        return step(taskCount, size, estimateMillis, dependencies, isGang, false);
    }

    /** Returns a step of one service task, which is restarted regardless of how it ends. */
    static StepDefinition service(Resources size) {
        return step(1, size, 0, List.of(), false, true);
    }

    /** Returns a step of {@code taskCount} service tasks. */
    static StepDefinition persistent(int taskCount, Resources size, int mayMiss) {
        return new StepDefinition(
                taskCount, size, 0, List.of(), false, false, "", "", 0, false, false, true, false,
                mayMiss);
    }

    private static StepDefinition step(
            int taskCount,
            Resources size,
            long estimateMillis,
            List<Integer> dependencies,
            boolean isGang,
            boolean isService) {
        return new StepDefinition(
                taskCount,
                size,
                estimateMillis,
                dependencies,
                isGang,
                false,
                "",
                "",
                0,
                false,
                false,
                isService,
                false);
    }

    /** Returns a step whose tasks run only on workers with {@code label}. */
    static StepDefinition labeled(
            int taskCount,
            Resources size,
            long estimateMillis,
            List<Integer> dependencies,
            String label) {
        return new StepDefinition(
                taskCount,
                size,
                estimateMillis,
                dependencies,
                false,
                false,
                label,
                "",
                0,
                false,
                false,
                false,
                false);
    }

    /** Returns a step with at most {@code maxPerWorker} tasks on one worker. */
    static StepDefinition spread(
            int taskCount,
            Resources size,
            List<Integer> dependencies,
            boolean isGang,
            int maxPerWorker) {
        return new StepDefinition(
                taskCount,
                size,
                0,
                dependencies,
                isGang,
                false,
                "",
                "",
                maxPerWorker,
                false,
                false,
                false,
                false);
    }

    /** Returns a job of one step. */
    static WorkflowDefinition job(StepDefinition step) {
        return new WorkflowDefinition("p", List.of(step), 0, 0, 0);
    }
}
