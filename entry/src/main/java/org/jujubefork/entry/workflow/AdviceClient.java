package org.jujubefork.entry.workflow;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.StepKey;

/** Calls, from this VM, the advice service, which decides which workers may run a step. */
@FunctionalInterface
public interface AdviceClient {
    /**
     * Requests tickets for {@code step}. Blocks until the service answers or the call times out.
     *
     * @param step the step
     * @param workers identifiers of the candidate workers
     * @param timeout time limit of the call
     * @return the tickets by worker, for the workers that may run the step; empty if the service
     *     gave no usable answer
     */
    Optional<Map<String, String>> requestTickets(
            StepKey step, List<String> workers, Duration timeout);
}
