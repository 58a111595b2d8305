package org.jujubefork.entry.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;

/** The interface of the workers. Calls block and are made on virtual threads. */
public interface WorkerPort {
    /**
     * The answer to a lease call.
     *
     * @param outcome what came of it
     * @param report what the worker says, if the outcome is OK
     */
    record HoldResult(CommandOutcome outcome, Optional<WorkerReport> report) {}

    /** Renews the lease of a worker and returns what runs there. */
    HoldResult hold(WorkflowEffect.RenewLease hold);

    /** Starts a run. */
    CommandOutcome start(WorkflowEffect.Start start);

    /** Stops a run. */
    CommandOutcome stop(WorkflowEffect.Stop stop);
}
