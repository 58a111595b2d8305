package org.jujubefork.core.model;

/**
 * A token bucket that limits retries to a tenth of the requests plus a burst, so that retries
 * cannot multiply the load during a failure.
 *
 * @param retryTenths available retries, in tenths of a retry
 */
public record RetryBudget(int retryTenths) {
    /** Cost of one retry, in tenths of a retry. */
    private static final int RETRY_COST_TENTHS = 10;

    /** Maximum number of retries that the budget accumulates. */
    public static final int MAX_BURST_RETRIES = 10;

    /** A full budget. */
    public static final RetryBudget FULL = new RetryBudget(MAX_BURST_RETRIES * RETRY_COST_TENTHS);

    /** Returns this budget after a request, which adds a tenth of a retry. */
    public RetryBudget afterRequest() {
        return new RetryBudget(Math.min(MAX_BURST_RETRIES * RETRY_COST_TENTHS, retryTenths + 1));
    }

    /** Returns whether the budget is sufficient for a retry. */
    public boolean allowsRetry() {
        return retryTenths >= RETRY_COST_TENTHS;
    }

    /** Returns this budget after the refund of a retry that was charged in advance but not made. */
    public RetryBudget afterRefund() {
        return new RetryBudget(
                Math.min(MAX_BURST_RETRIES * RETRY_COST_TENTHS, retryTenths + RETRY_COST_TENTHS));
    }

    /** Returns this budget after a retry; {@link #allowsRetry()} must have returned true. */
    public RetryBudget afterRetry() {
        return new RetryBudget(retryTenths - RETRY_COST_TENTHS);
    }
}
