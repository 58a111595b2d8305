package org.jujubefork.core.workflow;

import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.Call;

/** Decides whether a submitted job is accepted that the entry is able to accept. */
@FunctionalInterface
interface AdmissionRule {
    /**
     * Returns the decision.
     *
     * @param withinShare whether the team is within its share of jobs
     */
    JobAdmission.Decision decide(
            WorkflowState state, Call.Submit submit, Queue queue, boolean withinShare);
}
