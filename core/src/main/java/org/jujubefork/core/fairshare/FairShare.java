package org.jujubefork.core.fairshare;

/**
 * The fair share of teams: each is entitled to a fraction of the use that is proportional to its
 * weight.
 *
 * @param totalWeight the sum of the weights of the teams that share the use
 */
public record FairShare(double totalWeight) {
    /**
     * Returns the share of a team for each unit of its weight.
     *
     * @param share the fraction that the team uses
     * @param weight the weight of the team, greater than 0
     */
    public static double weightedShare(double share, double weight) {
        return share / weight;
    }

    /**
     * Returns the ratio of the use of a team to its fair share; 1 means exactly the fair share.
     *
     * @param share the fraction that the team uses
     * @param weight the weight of the team, greater than 0
     */
    public double shareRatio(double share, double weight) {
        return weightedShare(share, weight) * totalWeight;
    }

    /** Returns the weighted share to which every team is entitled; 1 if no team has a weight. */
    public double entitledWeightedShare() {
        return totalWeight > 0 ? 1 / totalWeight : 1;
    }

    /**
     * Returns the data of a team from which its rank is computed.
     *
     * @param share the fraction that the team uses
     * @param weight the weight of the team, greater than 0
     * @param waitingSinceMillis when the oldest work of the team started to wait, in milliseconds
     * @param nowMillis the time on the same clock, in milliseconds
     */
    public QueueOrder.TeamView view(
            double share, double weight, long waitingSinceMillis, long nowMillis) {
        return new QueueOrder.TeamView(
                weightedShare(share, weight),
                shareRatio(share, weight),
                waitingSinceMillis,
                nowMillis - waitingSinceMillis);
    }
}
