package org.jujubefork.core.workflow;

import java.util.List;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/** Decides whether a job counts as within the share of its team. */
@FunctionalInterface
interface TeamShare {
    /** Returns whether {@code job} counts as within the share of its team. */
    boolean isWithinShare(WorkflowState state, Job job);

    /** Returns the ledger at the start of a placement pass that is to place {@code candidates}. */
    default TeamLedger advanced(
            WorkflowState state, PassCapacity capacity, List<Candidate> candidates) {
        return TeamLedger.EMPTY;
    }

    /** Returns the fraction of a service that must be free before work of {@code rank} starts. */
    default double minFreeFraction(Urgency.Rank rank) {
        return rank.minFreeFraction();
    }

    /**
     * Returns the fraction of a service that must be free before work of {@code rank} starts if
     * work over a share is placed after all other work, so that no capacity has to be kept free of
     * it.
     */
    static double minFreeFractionIfPlacedLast(Urgency.Rank rank) {
        return rank == Urgency.Rank.OVER_SHARE ? 0 : rank.minFreeFraction();
    }

    /** Returns whether the waiting work of {@code team} delays that of other teams. */
    default boolean delaysOthers(TeamLedger ledger, String team) {
        return true;
    }

    /**
     * Returns how long a new job of {@code team} in {@code queue} would wait for capacity, in
     * milliseconds.
     *
     * @param withinRate whether the team submits at most its weight in jobs per second
     */
    default long expectedWaitMillis(
            WorkflowState state, String team, Queue queue, boolean withinRate) {
        return state.backlogs().expectedWaitMillis(queue.service(), queue.priority());
    }

    /**
     * Returns after how many milliseconds a new job of {@code team} in {@code queue} may return if
     * it has to be rejected because of the share of its team; empty if it need not be rejected.
     *
     * @param withinRate whether the team submits at most its weight in jobs per second
     */
    default OptionalLong rejectionDelayMillis(
            WorkflowState state, String team, Queue queue, boolean withinRate) {
        return !withinRate && state.backlogs().hasBacklog(queue.service())
                ? OptionalLong.of(expectedWaitMillis(state, team, queue, withinRate))
                : OptionalLong.empty();
    }
}
