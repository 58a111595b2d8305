package org.jujubefork.core.workflow;

/**
 * Divides the time of the advice service between requests in the order of their urgency and overdue
 * requests, that of the oldest job first. After the turn of an overdue request, requests in their
 * order get three times its cost before the next turn. Without a share of their own, requests that
 * are less urgent than all that arrive would wait for as long as the service has no idle time.
 *
 * @param debtMillis the service time that urgent requests have to get before an overdue request
 *     goes first again
 */
public record OverdueShare(long debtMillis) {
    /** The next overdue request goes first. */
    public static final OverdueShare NONE = new OverdueShare(0);

    /**
     * Time after which a queued request is overdue. Steps whose answer is late by less than this
     * mostly still end within their objective.
     */
    static final long OVERDUE_MILLIS = 2_000;

    /** Service time of urgent requests for each millisecond that an overdue request gets. */
    private static final long URGENT_MILLIS_PER_OVERDUE_MILLI = 3;

    /** Returns whether the oldest overdue request goes before all others. */
    boolean isDue() {
        return debtMillis == 0;
    }

    /** Returns a copy after the turn of an overdue request, which takes {@code costMillis}. */
    OverdueShare afterOverdue(long costMillis) {
        return new OverdueShare(debtMillis + URGENT_MILLIS_PER_OVERDUE_MILLI * costMillis);
    }

    /** Returns a copy after a request was sent in its order, which takes {@code costMillis}. */
    OverdueShare afterUrgent(long costMillis) {
        return new OverdueShare(Math.max(0, debtMillis - costMillis));
    }
}
