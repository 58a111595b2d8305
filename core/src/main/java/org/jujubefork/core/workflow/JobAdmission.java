package org.jujubefork.core.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.Call;

/**
 * Decides whether a submitted job is accepted. A job that cannot be served in time is rejected at
 * once, so that its caller can retry when there is capacity; jobs over the share of their team are
 * rejected first.
 */
final class JobAdmission {
    /** Maximum number of accepted jobs that have not ended; bounds the memory. */
    static final int MAX_JOB_COUNT = 20_000;

    /** Retry-after time when the maximum number of jobs is reached. */
    private static final long FULL_RETRY_AFTER_MILLIS = 2_000;

    /** Retry-after time when the store does not answer. */
    private static final long STORE_RETRY_AFTER_MILLIS = 1_000;

    /** Bounds of a retry-after time that is derived from the backlog. */
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    /** The decision on a submitted job. */
    sealed interface Decision {
        /** The job is accepted. */
        record Accept() implements Decision {}

        /**
         * The job is rejected and never runs.
         *
         * @param reason the reason as it appears in the log
         * @param retryAfterMillis the time after which the caller may retry
         * @param overloaded whether too much work is waiting; otherwise the entry cannot accept any
         *     job
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
        return decide(state, submit, queue.get(), withinShare);
    }

    private static Decision decide(
            WorkflowState state, Call.Submit submit, Queue queue, boolean withinShare) {
        long waitMillis = expectedWaitMillis(state, submit, queue);
        boolean isBeyondShare = !withinShare && state.backlogs().hasBacklog(queue.service());
        double objectiveMillis = Urgency.objectiveMillis(state, submit.definition(), queue);
        boolean isTooLate = waitMillis > Urgency.MAX_OBJECTIVE_FACTOR * objectiveMillis;
        if (!isBeyondShare && !isTooLate) {
            return new Decision.Accept();
        }
        Urgency.Rank rank = withinShare ? Urgency.Rank.ON_TIME : Urgency.Rank.OVER_SHARE;
        if (state.forecast().hasRoom(submit.definition(), submit.team(), queue, rank)) {
            return new Decision.Accept();
        }
        return new Decision.Reject(
                isBeyondShare ? "beyond-share" : "too-late", retryAfterMillis(waitMillis), true);
    }

    private static long expectedWaitMillis(WorkflowState state, Call.Submit submit, Queue queue) {
        return state.forecast()
                .expectedWaitMillis(submit.definition(), submit.team(), queue)
                .orElseGet(
                        () ->
                                state.backlogs()
                                        .expectedWaitMillis(queue.service(), queue.priority()));
    }

    /** Returns the rejection of a job because the store does not answer. */
    static Decision.Reject rejectStoreUnreachable() {
        return new Decision.Reject("store-silent", STORE_RETRY_AFTER_MILLIS, false);
    }

    private static long retryAfterMillis(long waitMillis) {
        return Math.clamp(waitMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }
}
