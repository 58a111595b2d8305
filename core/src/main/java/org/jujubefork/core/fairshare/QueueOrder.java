package org.jujubefork.core.fairshare;

/** Ranks the teams that have queued work in a lane; the team with the lowest rank goes first. */
@FunctionalInterface
public interface QueueOrder {
    /** Returns the rank of {@code team}; lower ranks go first. */
    double rank(TeamView team);

    /**
     * The data of a team from which its rank is computed.
     *
     * @param weightedShare the team's dominant share of the fleet divided by its weight
     * @param shareRatio the team's dominant share divided by its fair share; 1 means exactly the
     *     fair share
     * @param headWaitingSinceMillis when the oldest work of the team started to wait
     * @param headWaitMillis how long the oldest work of the team has waited
     */
    record TeamView(
            double weightedShare,
            double shareRatio,
            long headWaitingSinceMillis,
            long headWaitMillis) {}
}
