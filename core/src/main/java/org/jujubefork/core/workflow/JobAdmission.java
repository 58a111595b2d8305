package org.jujubefork.core.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.Call;

/**
 * Decides whether a job is accepted. What cannot be served in time is refused at once, so that its
 * caller can come back when there is room; what a team sends beyond its share is refused first.
 */
final class JobAdmission {
    /** The most jobs that are accepted and not ended; a bound for memory. */
    static final int MAX_JOB_COUNT = 20_000;

    /** When a caller comes back that met the bound. */
    private static final long FULL_RETRY_AFTER_MILLIS = 2_000;

    /** When a caller comes back that met an unreachable store. */
    private static final long STORE_RETRY_AFTER_MILLIS = 1_000;

    /** Bounds of the time until there may be room. */
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    /** What becomes of a job. */
    sealed interface Decision {
        /** It is accepted. */
        record Accept() implements Decision {}

        /**
         * It is refused, and never runs.
         *
         * @param reason why
         * @param retryAfterMillis when it may fit
         * @param overloaded whether too much waits; otherwise the entry cannot accept anything
         */
        record Reject(String reason, long retryAfterMillis, boolean overloaded)
                implements Decision {}
    }

    private JobAdmission() {}

    static Decision decide(WorkflowState state, Call.Submit submit, boolean withinShare) {
        if (state.commitQueue().isStalled(state.now())) {
            return rejectStoreUnreachable();
        }
        if (state.jobs().size() >= MAX_JOB_COUNT) {
            return new Decision.Reject("too-many-jobs", FULL_RETRY_AFTER_MILLIS, true);
        }
        Optional<Queue> queue = state.configuration().flatMap(c -> c.queue(submit.queue()));
        if (queue.isEmpty()) {
            return new Decision.Accept();
        }
        long waitMillis =
                state.backlogs().expectedWaitMillis(queue.get().service(), queue.get().priority());
        if (!withinShare && state.backlogs().hasBacklog(queue.get().service())) {
            return new Decision.Reject("beyond-share", retryAfterMillis(waitMillis), true);
        }
        double objective = Urgency.objectiveMillis(submit.definition(), queue.get());
        if (waitMillis > Urgency.MAX_OBJECTIVE_FACTOR * objective) {
            return new Decision.Reject("too-late", retryAfterMillis(waitMillis), true);
        }
        return new Decision.Accept();
    }

    /** Refuses a job because the store does not answer. */
    static Decision.Reject rejectStoreUnreachable() {
        return new Decision.Reject("store-silent", STORE_RETRY_AFTER_MILLIS, false);
    }

    private static long retryAfterMillis(long waitMillis) {
        return Math.clamp(waitMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }
}
