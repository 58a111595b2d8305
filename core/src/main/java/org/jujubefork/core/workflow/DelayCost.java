package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.Optional;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.Placement.Candidate;
import org.jujubefork.core.workflow.Urgency.Rank;

/**
 * What the delay of a step costs its caller, as a place in the order {@code delay-cost}.
 *
 * <p>The value of a step is the time at which its turn comes: the last time at which it can start
 * without a loss, plus the time by which it yields to other steps with the same last time. The
 * least value goes first. A value does not depend on the present time except when a loss occurs, so
 * a step that waits is passed only by steps with a lesser value, and a step that becomes ready
 * after that value has passed has a greater one. This bounds each wait that other work causes.
 *
 * @param rank the rank of the step when the cost was determined
 * @param latestStart the last time at which the step can start without making its job late; {@link
 *     Double#POSITIVE_INFINITY} for a job without an objective
 * @param worthlessAt the time from which a start completes the job too late to be of any use;
 *     {@link Double#POSITIVE_INFINITY} for a job without an objective
 * @param onTimeValue the value until {@code latestStart}, in milliseconds of the monotonic clock
 * @param lateValue the value from then on, in milliseconds of the monotonic clock
 */
record DelayCost(
        Rank rank, double latestStart, double worthlessAt, double onTimeValue, double lateValue) {
    /** The time by which a step yields for each level of its queue's priority. */
    static final long PRIORITY_YIELD_MILLIS = 1_000;

    /** The time by which a step yields each time that the remaining work of its job doubles. */
    static final long WORK_DOUBLING_YIELD_MILLIS = 100;

    /** The longest time by which a step yields because of its remaining work. */
    static final long MAX_WORK_YIELD_MILLIS = 800;

    /** Work up to this size does not yield: one core for one second. */
    private static final long SMALL_WORK = 1_000L * 1_000;

    /**
     * A gang goes earlier by this time, because the workers that it needs become free one after the
     * other.
     */
    static final long GANG_LEAD_MILLIS = 1_000;

    /**
     * The time by which a late step yields. A late job is worth a fifth, so its delay costs less
     * than that of a job that can be on time.
     */
    static final long LATE_YIELD_MILLIS = 2_000;

    /**
     * The turn of a step comes at most this long after it became ready, however much slack it has
     * and however much work it needs.
     */
    static final long MAX_TURN_MILLIS = 60_000;

    /** Returns the cost of delaying {@code candidate}. */
    static DelayCost of(Candidate candidate) {
        Urgency.Standing standing = candidate.standing();
        long now = standing.at();
        long readyAt = candidate.progress().readyAt() < 0 ? now : candidate.progress().readyAt();
        double yieldMillis =
                (double) candidate.queue().priority() * PRIORITY_YIELD_MILLIS
                        + workYieldMillis(standing.remainingWork())
                        - (candidate.definition().gang() ? GANG_LEAD_MILLIS : 0);
        if (Double.isInfinite(standing.objectiveMillis())) {
            double value = readyAt + yieldMillis;
            return new DelayCost(
                    standing.rank(),
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    value,
                    value);
        }
        double latestStart = now + standing.slackMillis();
        double worthlessAt =
                latestStart + (Urgency.MAX_OBJECTIVE_FACTOR - 1) * standing.objectiveMillis();
        double latestTurn = readyAt + MAX_TURN_MILLIS;
        return new DelayCost(
                standing.rank(),
                latestStart,
                worthlessAt,
                Math.min(latestTurn, latestStart + yieldMillis),
                Math.min(latestTurn, worthlessAt + LATE_YIELD_MILLIS + yieldMillis));
    }

    /** Returns by how long a step yields whose job needs {@code work} in millicores times ms. */
    static long workYieldMillis(long work) {
        long multiple = Math.max(1, work / SMALL_WORK);
        int doublings = Long.SIZE - 1 - Long.numberOfLeadingZeros(multiple);
        return Math.min(MAX_WORK_YIELD_MILLIS, doublings * WORK_DOUBLING_YIELD_MILLIS);
    }

    /** Returns the value at {@code now}, a time of the monotonic clock in milliseconds. */
    double valueAt(long now) {
        return now <= latestStart ? onTimeValue : lateValue;
    }

    /** Returns the value of {@code candidate} relative to the present time, in milliseconds. */
    static Optional<Long> loggedValue(Candidate candidate) {
        long now = candidate.standing().at();
        return Optional.of(Math.round(of(candidate).valueAt(now) - now));
    }

    /** Returns the group at {@code now}; all steps of a lesser group go first. */
    int groupAt(long now) {
        if (rank == Rank.TOO_LATE || now > worthlessAt) {
            return Group.WORTHLESS.ordinal();
        }
        return rank == Rank.OVER_SHARE ? Group.OVER_SHARE.ordinal() : Group.WORTHWHILE.ordinal();
    }

    /** Returns whether this goes before {@code other} at {@code now}. */
    boolean isBefore(DelayCost other, long now) {
        int byGroup = Integer.compare(groupAt(now), other.groupAt(now));
        return byGroup == 0 ? valueAt(now) < other.valueAt(now) : byGroup < 0;
    }

    /** The groups of steps, in their order. */
    private enum Group {
        /** Can be of use to its caller. */
        WORTHWHILE,
        /** The team is over its share. */
        OVER_SHARE,
        /** Would complete too late to be of use; in the order of acceptance. */
        WORTHLESS
    }

    /** Returns the order of steps by the cost of their delay. */
    static Comparator<Candidate> order() {
        return DelayCost::compare;
    }

    private static int compare(Candidate one, Candidate other) {
        DelayCost oneCost = of(one);
        DelayCost otherCost = of(other);
        long now = one.standing().at();
        int group = oneCost.groupAt(now);
        int result = Integer.compare(group, otherCost.groupAt(now));
        if (result == 0 && group != Group.WORTHLESS.ordinal()) {
            result = Double.compare(oneCost.valueAt(now), otherCost.valueAt(now));
        }
        if (result == 0) {
            result = Long.compare(one.job().acceptedAt(), other.job().acceptedAt());
        }
        return result == 0 ? one.job().id().compareTo(other.job().id()) : result;
    }

    /**
     * Returns the order of advice requests by the cost of the delay of their steps at {@code now}.
     * As in the order of acceptance, a further request for a step must not delay the first request
     * of another one.
     */
    static Comparator<AdviceRequest> requestOrder(long now) {
        return Comparator.comparing(AdviceRequest::purpose)
                .thenComparingInt(r -> r.delayCost().groupAt(now))
                .thenComparingDouble(r -> r.delayCost().valueAt(now));
    }
}
