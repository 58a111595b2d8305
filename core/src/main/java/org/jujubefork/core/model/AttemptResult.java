package org.jujubefork.core.model;

/**
 * What is known about one attempt to run a request.
 *
 * @param outcome whether it ran
 * @param reason why it did not run, or why its outcome is not known; empty when it is done
 * @param retryAfterMillis how long a caller should wait before trying again, in milliseconds; 0 if
 *     that does not help
 * @param retryElsewhere whether another shard or worker may well succeed
 */
public record AttemptResult(
        Outcome outcome, RefusalReason reason, long retryAfterMillis, boolean retryElsewhere) {
    private static final AttemptResult FINISHED =
            new AttemptResult(Outcome.DONE, RefusalReason.NONE, 0, false);

    /** Returns the result of an attempt that ran and whose whole answer was received. */
    public static AttemptResult done() {
        return FINISHED;
    }

    /** Returns the result of an attempt that did not run; another attempt would not help. */
    public static AttemptResult notRun(RefusalReason reason) {
        return new AttemptResult(Outcome.NOT_RUN, reason, 0, false);
    }

    /**
     * Returns the result of an attempt that did not run, with the time after which a caller may try
     * again.
     */
    public static AttemptResult notRun(RefusalReason reason, long retryAfterMillis) {
        return new AttemptResult(Outcome.NOT_RUN, reason, retryAfterMillis, false);
    }

    /** Returns the result of an attempt that did not run here but may run elsewhere. */
    public static AttemptResult notRunHere(RefusalReason reason) {
        return new AttemptResult(Outcome.NOT_RUN, reason, 0, true);
    }

    /** Returns the result of an attempt that may or may not have run. */
    public static AttemptResult unknown(RefusalReason reason) {
        return new AttemptResult(Outcome.UNKNOWN, reason, 0, true);
    }
}
