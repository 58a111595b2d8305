package org.jujubefork.standins.store;

/**
 * A rate limit with a burst of one second's worth of calls.
 *
 * @param perSecond calls per second; 0 means no limit
 * @param tokens calls that may be made now
 * @param atNanos monotonic time to which {@code tokens} applies
 */
record TokenBucket(double perSecond, double tokens, long atNanos) {
    private static final double NANOS_PER_SECOND = 1e9;

    static TokenBucket full(double perSecond, long nowNanos) {
        return new TokenBucket(perSecond, perSecond, nowNanos);
    }

    TokenBucket refilled(long nowNanos) {
        double added = (nowNanos - atNanos) / NANOS_PER_SECOND * perSecond;
        return new TokenBucket(perSecond, Math.min(perSecond, tokens + added), nowNanos);
    }

    boolean allows() {
        return perSecond == 0 || tokens >= 1;
    }

    TokenBucket taken() {
        return new TokenBucket(perSecond, tokens - 1, atNanos);
    }
}
