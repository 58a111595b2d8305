package org.jujubefork.core.placement;

/** Ranks the teams that have work in a lane; the lowest rank goes first. */
@FunctionalInterface
public interface QueueOrder {
    /** Returns the rank of {@code team}. */
    double rank(TeamView team);

    /**
     * What an order may look at.
     *
     * @param weightedShare the team's dominant share of the fleet divided by its weight
     * @param shareRatio the team's dominant share divided by the share that it is entitled to; 1 is
     *     exactly its share
     * @param headWaitingSinceMillis since when its oldest work waits
     * @param headWaitMillis how long its oldest work has waited
     */
    record TeamView(
            double weightedShare,
            double shareRatio,
            long headWaitingSinceMillis,
            long headWaitMillis) {}
}
