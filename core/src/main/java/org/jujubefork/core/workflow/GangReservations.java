package org.jujubefork.core.workflow;

import org.jujubefork.core.workflow.Placement.Candidate;

/** Decides when workers are reserved for a gang that does not fit yet, and how many. */
final class GangReservations {
    /**
     * Maximum fraction of the usable workers of a service that may be reserved for gangs that do
     * not fit yet.
     */
    private static final double MAX_RESERVED_FRACTION = 0.5;

    /**
     * Fraction of the capacity of a service that must be allocated for a reservation. With more
     * capacity free, small tasks do not keep a gang from starting, and a reservation would only
     * keep them waiting on idle workers. Reservations leave half of the workers to other work, so
     * the value is below one half; otherwise a reservation would soon end itself.
     */
    private static final double MIN_ALLOCATED_FRACTION_FOR_RESERVATION = 0.4;

    /**
     * A gang gets a reservation when it can wait no longer than this without becoming late. Before
     * that, the capacity that a reservation keeps idle serves other work.
     */
    private static final double MAX_RESERVATION_SLACK_MILLIS = 5_000;

    private GangReservations() {}

    /**
     * Returns whether workers may be reserved for {@code candidate}, a gang.
     *
     * @param allocatedFraction the fraction of the capacity of its service that is allocated
     */
    static boolean isDue(Candidate candidate, double allocatedFraction) {
        return candidate.rank().reservesCapacity()
                && candidate.standing().slackMillis() <= MAX_RESERVATION_SLACK_MILLIS
                && allocatedFraction >= MIN_ALLOCATED_FRACTION_FOR_RESERVATION;
    }

    /** Returns how many of {@code workerCount} usable workers may be reserved. */
    static long maxWorkers(long workerCount) {
        return Math.round(workerCount * MAX_RESERVED_FRACTION);
    }
}
