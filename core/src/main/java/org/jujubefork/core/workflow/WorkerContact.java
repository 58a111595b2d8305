package org.jujubefork.core.workflow;

/**
 * The leader's contact with a worker. Times are in milliseconds of the leader's monotonic clock.
 *
 * @param incarnation the incarnation that answered last
 * @param reached whether the worker has answered in this term
 * @param areRunsKnown whether all runs that may be active on the worker are charged, because it has
 *     answered or because the previous leader has recorded its runs
 * @param areCompletionsKnown whether each run that an earlier leader may have started on the worker
 *     is charged, or its completion is processed. A worker may list only some of its completions,
 *     so this can be false after it has answered.
 * @param lastContactAt when the worker last answered, -1 if it has not answered yet
 * @param runsUntil the time at which all runs of the worker have ended if no further call reaches
 *     it
 * @param lastRenewalAnswered whether the last completed lease renewal was answered
 * @param renewalInFlight whether a lease renewal is in flight
 * @param renewalSentAt when the newest lease renewal was sent, -1 if none was sent
 * @param usedFence the highest fencing token that this leader has sent to the worker, 0 if none
 * @param confirmableSince only answers to renewals sent at or after this time confirm that the
 *     incarnation is the present one
 */
public record WorkerContact(
        Incarnation incarnation,
        boolean reached,
        boolean areRunsKnown,
        boolean areCompletionsKnown,
        long lastContactAt,
        long runsUntil,
        boolean lastRenewalAnswered,
        boolean renewalInFlight,
        long renewalSentAt,
        long usedFence,
        long confirmableSince) {
    /**
     * Returns the contact with a worker that was never called; runs may be active there until
     * {@code runsUntil}.
     */
    public static WorkerContact unknown(Incarnation incarnation, long runsUntil) {
        return new WorkerContact(
                incarnation, false, false, false, -1, runsUntil, false, false, -1, 0, 0);
    }

    /** Returns the start of the incarnation that answered last in Unix milliseconds. */
    public long born() {
        return incarnation.born();
    }

    /** Returns whether all processed completions are stored. */
    public boolean areCompletionsStored() {
        return incarnation.storedSequence() >= incarnation.processedSequence();
    }

    /**
     * Returns whether the incarnation that answered last is known to be the present one: it has
     * answered the last renewal, and rejects orders for an earlier incarnation. Only then may the
     * worker get leases and tasks.
     */
    public boolean isIncarnationConfirmed() {
        return lastRenewalAnswered && incarnation.isFenced();
    }

    /**
     * Returns a copy in which all runs are charged that may be active or whose completions are not
     * processed.
     */
    public WorkerContact withKnownRuns() {
        Builder next = new Builder(this);
        next.areRunsKnown = true;
        next.areCompletionsKnown = true;
        return next.build();
    }

    /** Returns a copy after a lease renewal with {@code fence} was sent at {@code at}. */
    public WorkerContact withRenewalSent(long at, long newRunsUntil, long fence) {
        Builder next = new Builder(this);
        next.runsUntil = Math.max(runsUntil, newRunsUntil);
        next.renewalInFlight = true;
        next.renewalSentAt = at;
        next.usedFence = Math.max(usedFence, fence);
        return next.build();
    }

    /** Returns a copy in which runs may be active until {@code newRunsUntil} at least. */
    public WorkerContact withRunsUntil(long newRunsUntil) {
        Builder next = new Builder(this);
        next.runsUntil = Math.max(runsUntil, newRunsUntil);
        return next.build();
    }

    /** Returns a copy after a lease renewal failed. */
    public WorkerContact withRenewalFailed() {
        Builder next = new Builder(this);
        next.lastRenewalAnswered = false;
        next.renewalInFlight = false;
        return next.build();
    }

    /**
     * Returns a copy after {@code answering} has answered a lease renewal.
     *
     * @param allEndedListed whether the answer lists all completions that are not acknowledged
     */
    public WorkerContact withRenewalAnswered(
            Incarnation answering, long at, boolean allEndedListed) {
        Builder next = new Builder(this);
        next.incarnation = answering;
        next.reached = true;
        next.areRunsKnown = true;
        // A completion before the end of the leases does not count any more.
        next.areCompletionsKnown = areCompletionsKnown || allEndedListed || runsUntil < at;
        next.lastContactAt = at;
        next.lastRenewalAnswered = renewalSentAt >= confirmableSince;
        next.renewalInFlight = false;
        return next.build();
    }

    /**
     * Returns a copy in which the incarnation is not known to be the present one, until a renewal
     * is answered that is sent at or after {@code at}.
     */
    public WorkerContact withoutConfirmation(long at) {
        Builder next = new Builder(this);
        next.lastRenewalAnswered = false;
        next.confirmableSince = at;
        return next.build();
    }

    /** Returns a copy in which no run is active any more. */
    public WorkerContact withNoRuns() {
        Builder next = new Builder(this);
        next.runsUntil = 0;
        return next.build();
    }

    /** Returns a copy with {@code other} as the incarnation. */
    public WorkerContact with(Incarnation other) {
        Builder next = new Builder(this);
        next.incarnation = other;
        return next.build();
    }

    /** Mutable copy of the components, used to build a changed instance. */
    private static final class Builder {
        private Incarnation incarnation;
        private boolean reached;
        private boolean areRunsKnown;
        private boolean areCompletionsKnown;
        private long lastContactAt;
        private long runsUntil;
        private boolean lastRenewalAnswered;
        private boolean renewalInFlight;
        private long renewalSentAt;
        private long usedFence;
        private long confirmableSince;

        Builder(WorkerContact from) {
            this.incarnation = from.incarnation();
            this.reached = from.reached();
            this.areRunsKnown = from.areRunsKnown();
            this.areCompletionsKnown = from.areCompletionsKnown();
            this.lastContactAt = from.lastContactAt();
            this.runsUntil = from.runsUntil();
            this.lastRenewalAnswered = from.lastRenewalAnswered();
            this.renewalInFlight = from.renewalInFlight();
            this.renewalSentAt = from.renewalSentAt();
            this.usedFence = from.usedFence();
            this.confirmableSince = from.confirmableSince();
        }

        WorkerContact build() {
            return new WorkerContact(
                    incarnation,
                    reached,
                    areRunsKnown,
                    areCompletionsKnown,
                    lastContactAt,
                    runsUntil,
                    lastRenewalAnswered,
                    renewalInFlight,
                    renewalSentAt,
                    usedFence,
                    confirmableSince);
        }
    }
}
