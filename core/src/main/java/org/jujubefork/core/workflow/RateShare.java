package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Measures teams by the jobs that they submit: a job within the rate of its team that should
 * complete within some time never yields. A job beyond the rate yields to all other teams as long
 * as their work waits for the same service; the ledger decides which of these jobs goes first. No
 * capacity is kept idle.
 *
 * <p>Jobs with services and scheduled jobs yield by the work of their team, too. They have no
 * target to miss, and services that fail again and again would otherwise take each worker before
 * the work of others.
 */
final class RateShare implements TeamShare {
    private static final TeamShare BY_WORK = new WorkShare();

    @Override
    public boolean isWithinShare(WorkflowState state, Job job) {
        return job.definition().isTimely()
                ? job.acceptance().withinShare() || !isAwaitedByOther(state, job)
                : BY_WORK.isWithinShare(state, job);
    }

    private static boolean isAwaitedByOther(WorkflowState state, Job job) {
        String service = state.queueOf(job).map(Queue::service).orElse("");
        return state.teamLedger().isAwaitedByOther(service, job.team());
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
