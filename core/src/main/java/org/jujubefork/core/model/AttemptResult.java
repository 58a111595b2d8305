package org.jujubefork.core.model;

/**
 * The result of one attempt to run a request.
 *
 * @param outcome whether the request ran
 * @param reason why the request did not run, or why its outcome is unknown; {@link
 *     RefusalReason#NONE} if the request completed
 * @param retryAfterMillis how long a caller should wait before a retry, in milliseconds; 0 if no
 *     time is suggested
 * @param retryElsewhere whether an attempt in another shard or on another worker may succeed
 */
public record AttemptResult(
        Outcome outcome, RefusalReason reason, long retryAfterMillis, boolean retryElsewhere) {
    private static final AttemptResult DONE =
            new AttemptResult(Outcome.DONE, RefusalReason.NONE, 0, false);

    /** Returns the result of an attempt that ran and whose complete answer was received. */
    public static AttemptResult done() {
        return DONE;
    }

    /** Returns the result of an attempt that did not run and should not be retried elsewhere. */
    public static AttemptResult notRun(RefusalReason reason) {
        return new AttemptResult(Outcome.NOT_RUN, reason, 0, false);
    }

    /**
     * Returns the result of an attempt that did not run, with the time after which the caller may
     * retry.
     */
    public static AttemptResult notRun(RefusalReason reason, long retryAfterMillis) {
        return new AttemptResult(Outcome.NOT_RUN, reason, retryAfterMillis, false);
    }

    /**
     * Returns the result of an attempt that did not run but may succeed in another shard or on
     * another worker.
     */
    public static AttemptResult notRunHere(RefusalReason reason) {
        return new AttemptResult(Outcome.NOT_RUN, reason, 0, true);
    }

    /** Returns the result of an attempt that may or may not have run. */
    public static AttemptResult unknown(RefusalReason reason) {
        return new AttemptResult(Outcome.UNKNOWN, reason, 0, true);
    }
}
