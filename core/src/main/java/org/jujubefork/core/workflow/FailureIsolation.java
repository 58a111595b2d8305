package org.jujubefork.core.workflow;

import java.util.Arrays;
import java.util.function.Supplier;

/** Keeps the failure to handle one job from others that are handled in the same pass. */
final class FailureIsolation {
    private FailureIsolation() {}

    /**
     * Returns the result of {@code handling}, which handles the job or step {@code subject}. If it
     * throws, the state stays as it is and the failure is logged if {@code waits} says that a line
     * is due. Without this, the whole pass would fail, and so would each later one.
     */
    static WorkflowTransition isolate(
            WorkflowState state,
            Object subject,
            PassWaits waits,
            Supplier<WorkflowTransition> handling) {
        try {
            return handling.get();
        } catch (RuntimeException e) {
            if (!waits.recordFailureIfDue(subject)) {
                return WorkflowTransition.of(state);
            }
            return WorkflowTransition.of(state)
                    .with(
                            WorkflowEffect.LogEvent.of(
                                    "placement-failure",
                                    subject,
                                    "reason",
                                    e,
                                    "at",
                                    Arrays.stream(e.getStackTrace())
                                            .findFirst()
                                            .map(StackTraceElement::toString)
                                            .orElse("")));
        }
    }
}
