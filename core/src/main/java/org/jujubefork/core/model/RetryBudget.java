package org.jujubefork.core.model;

/**
 * Limits retries to a tenth of the requests and a burst, so that retries cannot multiply the load
 * during a failure.
 *
 * @param retryTenths tokens in tenths; a retry takes ten
 */
public record RetryBudget(int retryTenths) {
    /** What a retry takes. */
    private static final int RETRY_COST_TENTHS = 10;

    /** The burst of retries that is saved up. */
    public static final int MAX_BURST_RETRIES = 10;

    /** A full budget. */
    public static final RetryBudget FULL = new RetryBudget(MAX_BURST_RETRIES * RETRY_COST_TENTHS);

    /** Returns this budget after a request, which earns a tenth of a retry. */
    public RetryBudget afterRequest() {
        return new RetryBudget(Math.min(MAX_BURST_RETRIES * RETRY_COST_TENTHS, retryTenths + 1));
    }

    /** Returns whether a retry is allowed. */
    public boolean allowsRetry() {
        return retryTenths >= RETRY_COST_TENTHS;
    }

    /** Returns this budget after a retry that was paid for in advance was not needed. */
    public RetryBudget afterRefund() {
        return new RetryBudget(
                Math.min(MAX_BURST_RETRIES * RETRY_COST_TENTHS, retryTenths + RETRY_COST_TENTHS));
    }

    /** Returns this budget after a retry. */
    public RetryBudget afterRetry() {
        return new RetryBudget(retryTenths - RETRY_COST_TENTHS);
    }
}
