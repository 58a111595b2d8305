package org.jujubefork.entry.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;

/** Calls to the workers. The methods block and are called on virtual threads. */
public interface WorkerApi {
    /**
     * The result of a lease renewal.
     *
     * @param outcome whether the worker renewed the lease
     * @param report the worker's report, present only if {@code outcome} is {@code OK}
     */
    record LeaseRenewalResult(CommandOutcome outcome, Optional<WorkerReport> report) {}

    /** Renews the lease of a worker and returns the worker's report of its runs. */
    LeaseRenewalResult renewLease(WorkflowEffect.RenewLease renewal);

    /** Starts a run of a task on a worker. */
    CommandOutcome start(WorkflowEffect.Start start);

    /** Stops a run of a task on a worker. */
    CommandOutcome stop(WorkflowEffect.Stop stop);
}
