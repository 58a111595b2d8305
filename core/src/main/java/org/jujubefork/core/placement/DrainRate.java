package org.jujubefork.core.placement;

/**
 * The rate at which queued requests of a shard are started.
 *
 * @param windowStartMillis when the current window started
 * @param startedInWindow requests started in the current window
 * @param perSecond smoothed rate over earlier windows; 0 if unknown
 */
public record DrainRate(long windowStartMillis, int startedInWindow, double perSecond) {
    /** The rate before any request was started. */
    public static final DrainRate UNKNOWN = new DrainRate(0, 0, 0);

    /** Minimum retry-after time that callers receive. */
    static final long MIN_RETRY_AFTER_MILLIS = 200;

    /** Maximum retry-after time that callers receive. */
    static final long MAX_RETRY_AFTER_MILLIS = 30_000;

    private static final long WINDOW_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Weight of the newest window in the smoothed rate. */
    private static final double NEWEST_WINDOW_FRACTION = 0.5;

    /** Returns this rate after one more request was started. */
    DrainRate withStart(long nowMillis) {
        DrainRate current = advancedTo(nowMillis);
        return new DrainRate(
                current.windowStartMillis, current.startedInWindow + 1, current.perSecond);
    }

    /** Returns this rate with the current window closed if it has elapsed by {@code nowMillis}. */
    DrainRate advancedTo(long nowMillis) {
        long elapsed = nowMillis - windowStartMillis;
        if (elapsed < WINDOW_MILLIS) {
            return this;
        }
        double rate = startedInWindow * MILLIS_PER_SECOND / elapsed;
        double smoothed =
                perSecond == 0 ? rate : perSecond + NEWEST_WINDOW_FRACTION * (rate - perSecond);
        return new DrainRate(nowMillis, 0, smoothed);
    }

    /**
     * Returns the expected time to start {@code waiting} queued requests; 0 if no rate is known.
     */
    long expectedWaitMillis(int waiting) {
        return perSecond <= 0 ? 0 : (long) (waiting * MILLIS_PER_SECOND / perSecond);
    }

    /** Returns the retry-after time for a caller while {@code waiting} requests are queued. */
    long retryAfterMillis(int waiting) {
        long expected = perSecond <= 0 ? WINDOW_MILLIS : expectedWaitMillis(waiting);
        return Math.clamp(expected, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }
}
