package org.jujubefork.core.placement;

/**
 * How fast waiting requests of a shard are started.
 *
 * @param windowStartMillis when the current window started
 * @param startedInWindow requests started in the current window
 * @param perSecond smoothed rate over earlier windows; 0 if unknown
 */
public record DrainRate(long windowStartMillis, int startedInWindow, double perSecond) {
    /** Nothing has been started yet. */
    public static final DrainRate UNKNOWN = new DrainRate(0, 0, 0);

    /** Bounds of what callers are told to wait. */
    static final long MIN_RETRY_AFTER_MILLIS = 200;

    static final long MAX_RETRY_AFTER_MILLIS = 30_000;

    private static final long WINDOW_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The part of the newest window in the smoothed rate. */
    private static final double NEWEST_WINDOW_FRACTION = 0.5;

    /** Returns this rate after one more request was started. */
    DrainRate withStart(long nowMillis) {
        DrainRate current = advancedTo(nowMillis);
        return new DrainRate(
                current.windowStartMillis, current.startedInWindow + 1, current.perSecond);
    }

    /** Returns this rate with the current window closed if it is over. */
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

    /** Returns the expected time to start {@code waiting} requests; 0 if no rate is known. */
    long expectedWaitMillis(int waiting) {
        return perSecond <= 0 ? 0 : (long) (waiting * MILLIS_PER_SECOND / perSecond);
    }

    /** Returns how long a caller should wait while {@code waiting} requests are in the queue. */
    long retryAfterMillis(int waiting) {
        long expected = perSecond <= 0 ? WINDOW_MILLIS : expectedWaitMillis(waiting);
        return Math.clamp(expected, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }
}
