package org.jujubefork.core.workflow;

/**
 * What one team uses. Work is measured in millicores times milliseconds.
 *
 * @param weight the weight of the team
 * @param usedWork the decayed work that the team has used
 * @param runningMillicores the CPU allocated to its tasks, in millicores
 * @param waitingWork the estimated work of its waiting tasks
 * @param activeAt when it last had allocated or waiting work, in milliseconds of the monotonic
 *     clock
 */
public record TeamAccount(
        double weight, double usedWork, long runningMillicores, double waitingWork, long activeAt) {
    /** The account of a team that has used nothing. */
    static final TeamAccount UNUSED = new TeamAccount(0, 0, 0, 0, Long.MIN_VALUE / 2);

    /**
     * Half-life of the used work: a few run times of a task, so that the share holds over the run
     * of a gang, and a burst is forgotten soon after it has ended.
     */
    static final long HALF_LIFE_MILLIS = 2_000;

    /**
     * The use is projected this far ahead, so that an allocation counts at once; about the run time
     * of a short task.
     */
    private static final long PROJECTION_MILLIS = 1_000;

    private static final double MEAN_LIFE_MILLIS = HALF_LIFE_MILLIS / Math.log(2);

    private static final double PROJECTED_REMAINDER = remainder(PROJECTION_MILLIS);

    private static double remainder(long intervalMillis) {
        return Math.exp(-intervalMillis / MEAN_LIFE_MILLIS);
    }

    /** Returns the used work of a team that has always had {@code millicores} allocated. */
    static double steadyWork(double millicores) {
        return millicores * MEAN_LIFE_MILLIS;
    }

    /**
     * Returns the account after {@code intervalMillis} in which {@code millicores} were allocated.
     */
    TeamAccount advanced(double newWeight, long millicores, long intervalMillis) {
        return new TeamAccount(
                newWeight,
                projectedWork(remainder(intervalMillis), millicores),
                millicores,
                waitingWork,
                activeAt);
    }

    private double projectedWork(double remainder, long millicores) {
        return usedWork * remainder + steadyWork(millicores) * (1 - remainder);
    }

    /** Returns the used work after the next second, if the allocation stays as it is. */
    public double projectedUse() {
        return projectedWork(PROJECTED_REMAINDER, runningMillicores);
    }

    /** Returns a copy whose used work is at most {@code maxWork}. */
    TeamAccount withUsedAtMost(double maxWork) {
        return new TeamAccount(
                weight, Math.min(usedWork, maxWork), runningMillicores, waitingWork, activeAt);
    }

    /** Returns a copy with {@code millicores} allocated. */
    TeamAccount withRunning(long millicores) {
        return new TeamAccount(weight, usedWork, millicores, waitingWork, activeAt);
    }

    /** Returns a copy with {@code work} waiting at {@code now}. */
    TeamAccount withWaiting(double work, long now) {
        long newActiveAt = runningMillicores > 0 || work > 0 ? now : activeAt;
        return new TeamAccount(weight, usedWork, runningMillicores, work, newActiveAt);
    }

    /** Returns the projected use and the waiting work. */
    double projectedLoad() {
        return projectedUse() + waitingWork;
    }

    /**
     * Returns whether the team was active within the last half-life. A team that submits small jobs
     * at short intervals stays active between them.
     */
    boolean isActive(long now) {
        return now - activeAt <= HALF_LIFE_MILLIS;
    }

    /**
     * Returns the time in milliseconds in which a team without new work falls from {@code ratio} of
     * its fair share to its fair share; 0 if it is not above.
     */
    static long millisToFairShare(double ratio) {
        return ratio <= 1 ? 0 : Math.round(MEAN_LIFE_MILLIS * Math.log(ratio));
    }
}
