package org.jujubefork.entry.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent.OrderOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;

/** The interface of the workers. Calls block and are made on virtual threads. */
public interface WorkerApi {
    /**
     * The answer to a lease call.
     *
     * @param outcome what came of it
     * @param report what the worker says, if the outcome is OK
     */
    record LeaseRenewalResult(OrderOutcome outcome, Optional<WorkerReport> report) {}

    /** Renews the lease of a worker and returns what runs there. */
    LeaseRenewalResult renewLease(WorkflowEffect.Hold renewal);

    /** Starts a run. */
    OrderOutcome start(WorkflowEffect.Start start);

    /** Stops a run. */
    OrderOutcome stop(WorkflowEffect.Stop stop);
}
