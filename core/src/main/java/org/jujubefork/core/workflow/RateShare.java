package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Measures teams by the jobs that they submit: a job within the rate of its team never yields. A
 * job beyond it yields to all other teams as long as their work waits for the same service; the
 * ledger decides which of these jobs goes first. No capacity is kept idle.
 */
final class RateShare implements TeamShare {
    @Override
    public boolean isWithinShare(WorkflowState state, Job job) {
        return job.acceptance().withinShare()
                || !state.teamLedger()
                        .isAwaitedByOther(
                                state.queueOf(job).map(Queue::service).orElse(""), job.team());
    }

    @Override
    public TeamLedger advanced(
            WorkflowState state, PassCapacity capacity, List<Candidate> candidates) {
        return TeamLedger.advanced(state, capacity, candidates);
    }

    @Override
    public double minFreeFraction(Urgency.Rank rank) {
        return TeamShare.minFreeFractionIfPlacedLast(rank);
    }
}
