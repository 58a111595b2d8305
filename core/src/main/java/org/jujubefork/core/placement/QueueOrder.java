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
     * @param headSinceMillis since when its oldest work waits
     */
    record TeamView(double weightedShare, long headSinceMillis) {}
}
