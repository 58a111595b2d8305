package org.jujubefork.core.workflow;

/** Time bounds of leadership, leases and calls, in milliseconds. */
public final class WorkflowLimits {
    /** Time after an event in which a leader looks at what is due. */
    public static final long LEADER_TICK_MILLIS = 100;

    /**
     * The lease that each call gives a worker. Long enough to outlast a takeover and the start of a
     * process, short enough that the tasks of a lost worker run elsewhere soon.
     */
    public static final long WORKER_LEASE_MILLIS = 6_000;

    /** Covers a worker clock that is 2% slow, and the age of the clock estimate. */
    public static final long LEASE_MARGIN_MILLIS = 400;

    /**
     * Least time between two passes of the placement, which looks at all that waits. Without it a
     * VM whose code is not compiled yet falls behind after a restart.
     */
    public static final long MIN_PLACEMENT_INTERVAL_MILLIS = 15;

    /** Jobs for which the time between two passes grows by a millisecond. */
    public static final int JOBS_PER_EXTRA_INTERVAL_MILLI = 4;

    /** How long a leader gives orders after the store last confirmed that it leads. */
    public static final long MAX_CONFIRMATION_AGE_MILLIS = 5_000;

    /**
     * Latest end of a lease after the store last confirmed the leader that gives it. A new leader
     * waits this long for workers that it cannot reach; a store that is away for less ends no task.
     */
    public static final long MAX_LEASE_AFTER_CONFIRMATION_MILLIS = 8_000;

    /** How long a worker may wait with its answer to a lease call when nothing ends. */
    public static final long MAX_RENEWAL_WAIT_MILLIS = 1_500;

    /** Time between two lease calls that do not wait, while ends are not stored yet. */
    public static final long RENEWAL_RETRY_MILLIS = 400;

    /** A worker that was silent for this time gets no new work. */
    public static final long WORKER_CONTACT_TIMEOUT_MILLIS = 3_200;

    /** A start that was not answered in this time is settled by a stop. */
    public static final long START_TIMEOUT_MILLIS = 700;

    /** Time between two stops of the same run. */
    public static final long STOP_RETRY_MILLIS = 600;

    /**
     * A write that the store has not answered for this time shows that it is away: what is handed
     * in is then refused rather than held. Longer than the time limit of one call, so that a single
     * lost answer refuses nothing.
     */
    public static final long STORE_STALL_TIMEOUT_MILLIS = 1_300;

    /**
     * Least time between two writes to the store; what changes meanwhile is written together. Each
     * call to the store has its price, and objectives leave several hundred milliseconds.
     */
    public static final long MIN_COMMIT_INTERVAL_MILLIS = 40;

    /**
     * The most records that the entries of one write touch. The store takes 32 in all; three go to
     * the conditions and the mark of the write itself.
     */
    public static final int MAX_RECORDS_PER_COMMIT = 29;

    /** How long the end of a job is remembered. The platform asks for 120 s. */
    public static final long FINISHED_JOB_RETENTION_MILLIS = 180_000;

    /** Failures in a row, without a success, after which a worker gets no work for a while. */
    public static final int QUARANTINE_FAILURE_COUNT = 4;

    /** How long such a worker gets no work. */
    public static final long QUARANTINE_MILLIS = 6_000;

    /** A ticket is not used in the last part of its validity, because the start takes time. */
    public static final long TICKET_MARGIN_MILLIS = 300;

    /**
     * Latest age of a leader's last sign of life at which a follower still takes it for alive. A
     * process that has just started and serves the whole load is silent for about a second.
     */
    public static final long LEADER_CONTACT_TIMEOUT_MILLIS = 1_300;

    private WorkflowLimits() {}

    /**
     * Returns the end of a lease that a leader gives.
     *
     * @param now when it is given
     * @param confirmedAt when the store last confirmed the leader
     */
    public static long leaseExpiry(long now, long confirmedAt) {
        return Math.min(
                now + WORKER_LEASE_MILLIS, confirmedAt + MAX_LEASE_AFTER_CONFIRMATION_MILLIS);
    }

    /** Returns when everything under leases that end at {@code expiry} has ended on any worker. */
    public static long addLeaseMargin(long expiry) {
        return expiry + LEASE_MARGIN_MILLIS;
    }
}
