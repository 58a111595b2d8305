package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Token buckets that determine whether the jobs that a team submits are within its share. The
 * refill rate of a bucket is the team's weight, in jobs per second.
 *
 * @param buckets the buckets by team; a team that is not in the map has a full bucket
 */
public record TeamTokenBuckets(PMap<String, Bucket> buckets) {
    /** All buckets are full. */
    public static final TeamTokenBuckets NONE = new TeamTokenBuckets(HashTreePMap.empty());

    /** Capacity of a bucket, as the time in which it is refilled from empty. */
    private static final double BURST_SECONDS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The tokens of a team.
     *
     * @param tokens the number of jobs that the team can submit now within its share
     * @param updatedAt when {@code tokens} was computed, in milliseconds of the monotonic clock
     */
    public record Bucket(double tokens, long updatedAt) {}

    /**
     * The result of taking a token for a submitted job.
     *
     * @param updated the buckets afterwards
     * @param withinShare whether a token was available, so that the job is within the share of its
     *     team
     */
    public record Acquisition(TeamTokenBuckets updated, boolean withinShare) {}

    /**
     * Takes a token for a job of {@code team}. A team of weight 0 has no share, and its jobs always
     * count as within the share.
     *
     * @param now the time in milliseconds of the monotonic clock
     */
    public Acquisition tryAcquire(String team, double weight, long now) {
        if (weight <= 0) {
            return new Acquisition(this, true);
        }
        double tokens = tokens(team, weight, now);
        boolean withinShare = tokens >= 1;
        Bucket next = new Bucket(withinShare ? tokens - 1 : tokens, now);
        return new Acquisition(new TeamTokenBuckets(buckets.plus(team, next)), withinShare);
    }

    private double tokens(String team, double weight, long now) {
        double maxTokens = Math.max(1, weight * BURST_SECONDS);
        Bucket previous = buckets.getOrDefault(team, new Bucket(maxTokens, now));
        double refill = (now - previous.updatedAt()) * weight / MILLIS_PER_SECOND;
        return Math.min(maxTokens, previous.tokens() + refill);
    }

    /**
     * Returns the time until a token for a job of {@code team} is available, in milliseconds.
     *
     * @param now the time in milliseconds of the monotonic clock
     */
    public long millisUntilToken(String team, double weight, long now) {
        double missing = weight <= 0 ? 0 : 1 - tokens(team, weight, now);
        return missing <= 0 ? 0 : (long) Math.ceil(missing * MILLIS_PER_SECOND / weight);
    }
}
