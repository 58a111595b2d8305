package org.jujubefork.core.model;

/**
 * Limits retries to a tenth of the requests and a burst, so that retries cannot multiply the load
 * during a failure.
 *
 * @param tenths tokens in tenths; a retry takes ten
 */
public record RetryBudget(int tenths) {
    /** What a retry takes. */
    private static final int COST = 10;

    /** The burst of retries that is saved up. */
    public static final int BURST = 10;

    /** A full budget. */
    public static final RetryBudget FULL = new RetryBudget(BURST * COST);

    /** Returns this budget after a request, which earns a tenth of a retry. */
    public RetryBudget earned() {
        return new RetryBudget(Math.min(BURST * COST, tenths + 1));
    }

    /** Returns whether a retry is allowed. */
    public boolean allows() {
        return tenths >= COST;
    }

    /** Returns this budget after a retry that was paid for in advance was not needed. */
    public RetryBudget refunded() {
        return new RetryBudget(Math.min(BURST * COST, tenths + COST));
    }

    /** Returns this budget after a retry. */
    public RetryBudget spent() {
        return new RetryBudget(tenths - COST);
    }
}
