package org.jujubefork.core.placement;

/**
 * How fast waiting requests of a shard are started.
 *
 * @param windowStartMillis when the current window started
 * @param started requests started in the current window
 * @param perSecond smoothed rate over earlier windows; 0 if unknown
 */
public record DrainRate(long windowStartMillis, int started, double perSecond) {
    /** Nothing has been started yet. */
    public static final DrainRate UNKNOWN = new DrainRate(0, 0, 0);

    /** Bounds of what callers are told to wait. */
    static final long SHORTEST_RETRY_MILLIS = 200;

    static final long LONGEST_RETRY_MILLIS = 30_000;

    private static final long WINDOW_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The part of the newest window in the smoothed rate. */
    private static final double NEWEST = 0.5;

    /** Returns this rate after one more request was started. */
    DrainRate plusStart(long nowMillis) {
        DrainRate current = at(nowMillis);
        return new DrainRate(current.windowStartMillis, current.started + 1, current.perSecond);
    }

    /** Returns this rate with the current window closed if it is over. */
    DrainRate at(long nowMillis) {
        long elapsed = nowMillis - windowStartMillis;
        if (elapsed < WINDOW_MILLIS) {
            return this;
        }
        double rate = started * MILLIS_PER_SECOND / elapsed;
        double smoothed = perSecond == 0 ? rate : perSecond + NEWEST * (rate - perSecond);
        return new DrainRate(nowMillis, 0, smoothed);
    }

    /** Returns the expected time to start {@code waiting} requests; 0 if no rate is known. */
    long expectedWaitMillis(int waiting) {
        return perSecond <= 0 ? 0 : (long) (waiting * MILLIS_PER_SECOND / perSecond);
    }

    /** Returns how long a caller should wait while {@code waiting} requests are in the queue. */
    long retryAfterMillis(int waiting) {
        long expected = perSecond <= 0 ? WINDOW_MILLIS : expectedWaitMillis(waiting);
        return Math.clamp(expected, SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
    }
}
