package org.jujubefork.core.workflow;

/** Timeouts, intervals and limits of leadership, leases, commits and placement. */
public final class WorkflowLimits {
    /** Maximum time between two ticks of a leader. */
    public static final long LEADER_TICK_MILLIS = 100;

    /**
     * Duration of the lease that each renewal grants to a worker. It outlasts a takeover and the
     * start of a process, and is short enough that the tasks of a lost worker soon run elsewhere.
     */
    public static final long WORKER_LEASE_MILLIS = 6_000;

    /**
     * Longest lease that a worker of the platform holds: it shortens a lease that an order asks for
     * to this time from when it carries out the order.
     */
    public static final long MAX_WORKER_LEASE_MILLIS = 10_000;

    /**
     * Time after which an order that was not answered is no longer carried out. The platform states
     * seconds.
     */
    public static final long MAX_ORDER_DELAY_MILLIS = 15_000;

    /**
     * Margin added to the expiry of a lease. It covers a worker clock that is 2% slow, and the age
     * of the clock offset estimate.
     */
    public static final long LEASE_MARGIN_MILLIS = 400;

    /**
     * Minimum time between two placement passes, each of which examines all waiting steps. Without
     * it, an entry whose code is not JIT-compiled yet falls behind after a restart.
     */
    public static final long MIN_PLACEMENT_INTERVAL_MILLIS = 15;

    /**
     * Number of additional jobs that extend the minimum interval between two placement passes by
     * one millisecond.
     */
    public static final int JOBS_PER_EXTRA_INTERVAL_MILLI = 4;

    /**
     * A leader stops sending commands when the store's last confirmation of its leadership is older
     * than this.
     */
    public static final long MAX_CONFIRMATION_AGE_MILLIS = 5_000;

    /**
     * Latest expiry of a lease, counted from the store's last confirmation of the leader that
     * grants it. A new leader waits this long for workers that it cannot reach. No task ends
     * because of an outage of the store that is shorter than this.
     */
    public static final long MAX_LEASE_AFTER_CONFIRMATION_MILLIS = 8_000;

    /**
     * Maximum time for which a worker holds back its answer to a lease renewal while no run ends.
     */
    public static final long MAX_RENEWAL_WAIT_MILLIS = 1_500;

    /**
     * Minimum time between two lease renewals of a worker that has not answered the last one or has
     * completions that are not stored yet.
     */
    public static final long RENEWAL_RETRY_MILLIS = 400;

    /** A worker without contact for this time gets no new tasks. */
    public static final long WORKER_CONTACT_TIMEOUT_MILLIS = 3_200;

    /**
     * A worker whose last lease renewal has failed and that has not answered for this time is
     * recorded as silent. Shorter than a takeover takes, so that the next leader finds the record.
     */
    public static final long SILENT_WORKER_MILLIS = 600;

    /** A start command that is not answered within this time is followed by a stop command. */
    public static final long START_TIMEOUT_MILLIS = 700;

    /** Time after which an unconfirmed stop command is sent again. */
    public static final long STOP_RETRY_MILLIS = 600;

    /**
     * If a commit is not answered within this time, the store counts as unreachable, and submitted
     * jobs are rejected instead of waiting. The value exceeds the timeout of one call, so that a
     * single lost answer causes no rejection.
     */
    public static final long STORE_STALL_TIMEOUT_MILLIS = 1_300;

    /**
     * Minimum time between two commits; changes in between are written together. Each call to the
     * store has a cost, and objectives leave several hundred milliseconds for it.
     */
    public static final long MIN_COMMIT_INTERVAL_MILLIS = 40;

    /**
     * Maximum number of records that one commit may write or remove. The store accepts 32 records
     * in total; three are needed for the conditions and the marker of the commit itself.
     */
    public static final int MAX_RECORDS_PER_COMMIT = 29;

    /** How long ended jobs are kept for status queries. The platform requires 120 s. */
    public static final long FINISHED_JOB_RETENTION_MILLIS = 180_000;

    /** Number of consecutive failed runs after which a worker is quarantined. */
    public static final int QUARANTINE_FAILURE_COUNT = 4;

    /** How long a quarantined worker gets no new tasks. */
    public static final long QUARANTINE_MILLIS = 6_000;

    /** A ticket is no longer used when it expires within this time, because a start takes time. */
    public static final long TICKET_MARGIN_MILLIS = 300;

    /**
     * A follower considers the leader alive until this time has passed since the leader's last
     * heartbeat. A leader process that has just started and serves the whole load may send no
     * heartbeat for about a second.
     */
    public static final long LEADER_CONTACT_TIMEOUT_MILLIS = 1_300;

    private WorkflowLimits() {}

    /**
     * Returns when a lease that a leader grants expires.
     *
     * @param now when it is granted
     * @param confirmedAt when the store last confirmed the leader
     */
    public static long leaseExpiry(long now, long confirmedAt) {
        return Math.min(
                now + WORKER_LEASE_MILLIS, confirmedAt + MAX_LEASE_AFTER_CONFIRMATION_MILLIS);
    }

    /** Returns when each lease has expired that any order has set by {@code now}. */
    public static long maxLeaseEnd(long now) {
        return addLeaseMargin(now + MAX_WORKER_LEASE_MILLIS);
    }

    /**
     * Returns the time by which all runs have ended whose leases expire at {@code expiry}, on every
     * worker.
     */
    public static long addLeaseMargin(long expiry) {
        return expiry + LEASE_MARGIN_MILLIS;
    }
}
