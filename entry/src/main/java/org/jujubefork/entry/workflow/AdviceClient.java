package org.jujubefork.entry.workflow;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.StepKey;

/** Asks the advice service from this VM. */
@FunctionalInterface
public interface AdviceClient {
    /**
     * Returns the tickets of the workers that may run {@code step}, or nothing if the service gave
     * no answer.
     *
     * @param step the step
     * @param workers the candidates
     * @param timeout limit for the call
     */
    Optional<Map<String, String>> requestTickets(
            StepKey step, List<String> workers, Duration timeout);
}
