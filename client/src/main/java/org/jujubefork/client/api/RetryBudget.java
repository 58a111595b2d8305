package org.jujubefork.client.api;

/**
 * Limits retries to a part of the calls, so that clients do not multiply the load on a cell that is
 * already overloaded. Safe for use by several threads.
 */
final class RetryBudget {
    private final double perCall;
    private final double burst;
    private double tokens;

    private RetryBudget(double perCall, double burst) {
        this.perCall = perCall;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * Returns a budget.
     *
     * @param perCall retries that each call adds
     * @param burst retries that can be saved up, and that are there at the start
     */
    static RetryBudget of(double perCall, double burst) {
        return new RetryBudget(perCall, burst);
    }

    /** Adds the part of one call. */
    synchronized void recordCall() {
        tokens = Math.min(burst, tokens + perCall);
    }

    /** Takes one retry, if there is one. */
    synchronized boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
