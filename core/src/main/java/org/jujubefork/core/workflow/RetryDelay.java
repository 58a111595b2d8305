package org.jujubefork.core.workflow;

/** Decides when a rejected caller may return. */
@FunctionalInterface
interface RetryDelay {
    /** The shortest time after which a caller may return. */
    long MIN_RETRY_AFTER_MILLIS = 1_000;

    /** The longest time after which a caller may return. */
    long MAX_RETRY_AFTER_MILLIS = 10_000;

    /**
     * A rejected job.
     *
     * @param waitMillis the expected time until the reason of the rejection ends
     * @param shareWaitMillis the time until the share of the team allows another job, 0 if it does
     * @param priority the priority of the queue, 0 is the most urgent
     * @param job the identifier of the job
     */
    record Rejection(long waitMillis, long shareWaitMillis, int priority, String job) {}

    /** Returns the time after which the caller may return, in milliseconds. */
    long retryAfterMillis(Rejection rejection);

    /** Returns the expected wait; callers that are rejected for the same reason return together. */
    static long uniform(Rejection rejection) {
        return Math.clamp(rejection.waitMillis(), MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }
}
