package org.jujubefork.core.workflow;

/** Decides when a rejected caller may return. */
@FunctionalInterface
interface RetryDelay {
    /**
     * Returns the time after which the caller may return, before bounds are applied.
     *
     * @param waitMillis the expected wait for capacity
     * @param priority the priority of the queue, 0 is the most urgent
     * @param job the identifier of the job
     */
    long retryAfterMillis(long waitMillis, int priority, String job);
}
