package org.jujubefork.core.workflow;

/**
 * Spreads the returns of rejected callers over time, the most urgent first. If all of them returned
 * together, most would be rejected again.
 */
final class SpreadRetry {
    /** The length of the period over which callers of the same urgency return. */
    static final long SPREAD_MILLIS = 2_000;

    /** By how much later the callers of a queue return than those of the next more urgent one. */
    static final long PRIORITY_STEP_MILLIS = 1_000;

    private SpreadRetry() {}

    /**
     * Returns the time after which the caller may return: when its reason is expected to end and
     * its share allows, later for less urgent queues, plus an offset. The offset follows from the
     * job's identifier, so a repeated request gets the same answer from each leader.
     */
    static long retryAfterMillis(RetryDelay.Rejection rejection) {
        long reasonEnds = Math.max(rejection.waitMillis(), rejection.shareWaitMillis());
        long yieldMillis = Math.max(0L, rejection.priority()) * PRIORITY_STEP_MILLIS;
        long earliest =
                Math.clamp(
                        reasonEnds + Math.min(yieldMillis, RetryDelay.MAX_RETRY_AFTER_MILLIS),
                        RetryDelay.MIN_RETRY_AFTER_MILLIS,
                        RetryDelay.MAX_RETRY_AFTER_MILLIS - SPREAD_MILLIS);
        return earliest + offsetMillis(rejection.job());
    }

    private static long offsetMillis(String job) {
        // The low bits of a hash code of similar identifiers are similar; the product mixes them.
        int mixed = job.hashCode() * 0x9E3779B9;
        return Math.floorMod(mixed ^ (mixed >>> 16), SPREAD_MILLIS + 1);
    }
}
