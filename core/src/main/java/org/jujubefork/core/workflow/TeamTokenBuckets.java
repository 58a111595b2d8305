package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How much of its share each team has used lately: a token bucket for each team, filled with as
 * many jobs a second as the team's weight.
 *
 * @param buckets the buckets by team; a team without one has used nothing
 */
public record TeamTokenBuckets(PMap<String, Bucket> buckets) {
    /** No team has used anything. */
    public static final TeamTokenBuckets NONE = new TeamTokenBuckets(HashTreePMap.empty());

    /** Time for which a team can hand in nothing and then the same at once. */
    private static final double BURST_SECONDS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * What is left for a team.
     *
     * @param tokens the jobs that it can hand in within its share
     * @param updatedAt when that was true, in milliseconds of the monotonic clock
     */
    public record Bucket(double tokens, long updatedAt) {}

    /**
     * The outcome of a job that is handed in.
     *
     * @param updated the shares afterwards
     * @param withinShare whether the job is within the share of its team
     */
    public record Acquisition(TeamTokenBuckets updated, boolean withinShare) {}

    /**
     * Counts a job of {@code team}. A weight of 0 is no share to be measured against.
     *
     * @param now the time in milliseconds of the monotonic clock
     */
    public Acquisition tryAcquire(String team, double weight, long now) {
        if (weight <= 0) {
            return new Acquisition(this, true);
        }
        double maxTokens = Math.max(1, weight * BURST_SECONDS);
        Bucket previous = buckets.getOrDefault(team, new Bucket(maxTokens, now));
        double refill = (now - previous.updatedAt()) * weight / MILLIS_PER_SECOND;
        double tokens = Math.min(maxTokens, previous.tokens() + refill);
        boolean withinShare = tokens >= 1;
        Bucket next = new Bucket(withinShare ? tokens - 1 : tokens, now);
        return new Acquisition(new TeamTokenBuckets(buckets.plus(team, next)), withinShare);
    }
}
