package org.jujubefork.core.workflow;

import java.util.List;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Measures teams by the work that they use. A job is beyond the share of its team only while the
 * team uses more than its share and work of a team below its share waits for the same service. A
 * job beyond the rate of its team yields to the work of every other team. Neither keeps capacity
 * idle.
 */
final class WorkShare implements TeamShare {
    /**
     * Ratio of use and waiting work to the fair share above which jobs of a team over its share are
     * rejected while teams below theirs wait.
     */
    private static final double MAX_ACCEPTED_RATIO = 1.5;

    @Override
    public boolean isWithinShare(WorkflowState state, Job job) {
        TeamLedger ledger = state.teamLedger();
        boolean overShare = ledger.isOverShare(job.team());
        if (job.acceptance().withinShare() && !overShare) {
            return true;
        }
        String service = state.queueOf(job).map(Queue::service).orElse("");
        boolean yieldsForRate =
                !job.acceptance().withinShare() && ledger.isAwaitedByOther(service, job.team());
        return !yieldsForRate && !(overShare && ledger.isAwaitedBelowShare(service, job.team()));
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

    @Override
    public boolean delaysOthers(TeamLedger ledger, String team) {
        return !ledger.isOverShare(team);
    }

    /** A job that yields also waits for its own work, which is not part of the backlog. */
    @Override
    public long expectedWaitMillis(
            WorkflowState state, String team, Queue queue, boolean withinRate) {
        long backlogMillis = TeamShare.super.expectedWaitMillis(state, team, queue, withinRate);
        return !withinRate || state.teamLedger().isOverShare(team)
                ? backlogMillis + state.teamLedger().ownWaitMillis(queue.service(), team)
                : backlogMillis;
    }

    @Override
    public OptionalLong rejectionDelayMillis(
            WorkflowState state, String team, Queue queue, boolean withinRate) {
        TeamLedger ledger = state.teamLedger();
        double ratio = ledger.loadRatio(team);
        boolean yields = !withinRate || ledger.isOverShare(team);
        return yields
                        && ratio > MAX_ACCEPTED_RATIO
                        && ledger.isAwaitedBelowShare(queue.service(), team)
                ? OptionalLong.of(TeamAccount.millisToFairShare(ratio))
                : OptionalLong.empty();
    }
}
