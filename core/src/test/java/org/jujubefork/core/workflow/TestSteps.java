package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.model.Resources;

/** Makes the steps of jobs in tests; what a test does not name is off. */
final class TestSteps {
    private TestSteps() {}

    /** Returns {@code count} tasks of {@code size} that are estimated to take some time. */
    static StepDefinition step(int count, Resources size, long estimateMillis) {
        return step(count, size, estimateMillis, List.of(), false, false);
    }

    /** Returns the same, as a gang or not, after the steps {@code after}. */
    static StepDefinition step(
            int count, Resources size, long estimateMillis, List<Integer> after, boolean gang) {
        return step(count, size, estimateMillis, after, gang, false);
    }

    /** Returns one task that is started again however it ends. */
    static StepDefinition service(Resources size) {
        return step(1, size, 0, List.of(), false, true);
    }

    private static StepDefinition step(
            int count,
            Resources size,
            long estimateMillis,
            List<Integer> after,
            boolean gang,
            boolean service) {
        return new StepDefinition(
                count,
                size,
                estimateMillis,
                after,
                gang,
                false,
                "",
                "",
                0,
                false,
                false,
                service,
                false);
    }

    /** Returns a job of one step. */
    static WorkflowDefinition job(StepDefinition step) {
        return new WorkflowDefinition("p", List.of(step), 0, 0, 0);
    }
}
