package org.jujubefork.core.requests;

/**
 * Limits retries to a part of the requests, so that retries cannot multiply the load during a
 * failure.
 *
 * @param tenths tokens in tenths; a retry takes {@link #COST}
 */
public record RetryBudget(int tenths) {
    /** What a retry takes. */
    static final int COST = 10;

    /** The burst of retries that is saved up. */
    static final int BURST = 10;

    /** A full budget. */
    public static final RetryBudget FULL = new RetryBudget(BURST * COST);

    /** Returns this budget after a request, which earns a tenth of a retry. */
    RetryBudget earned() {
        return new RetryBudget(Math.min(BURST * COST, tenths + 1));
    }

    /** Returns whether a retry is allowed. */
    boolean allows() {
        return tenths >= COST;
    }

    /** Returns this budget after a retry that was paid for in advance was not needed. */
    RetryBudget refunded() {
        return new RetryBudget(Math.min(BURST * COST, tenths + COST));
    }

    /** Returns this budget after a retry. */
    RetryBudget spent() {
        return new RetryBudget(tenths - COST);
    }
}
