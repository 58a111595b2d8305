package org.jujubefork.core.workflow;

import java.util.Optional;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.RetryDelay.Rejection;
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

    /** Retry-after time when all workers of the service are in evacuated zones. */
    private static final long EVACUATED_RETRY_AFTER_MILLIS = 5_000;

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
         * @param orderValueMillis the value of the job in the order of waiting work relative to the
         *     present time, if the order has values
         */
        record Reject(
                String reason,
                long retryAfterMillis,
                boolean overloaded,
                Optional<Long> orderValueMillis)
                implements Decision {}
    }

    private JobAdmission() {}

    static Decision decide(WorkflowState state, Call.Submit submit, boolean withinShare) {
        if (state.commitQueue().isStalled(state.now())) {
            return rejectStoreUnreachable(state, submit.queue(), submit.job());
        }
        Optional<Queue> queue = state.configuration().flatMap(c -> c.queue(submit.queue()));
        if (state.jobs().size() >= MAX_JOB_COUNT) {
            return new Decision.Reject(
                    "too-many-jobs",
                    retryAfterMillis(
                            state,
                            new Rejection(
                                    FULL_RETRY_AFTER_MILLIS, 0, priority(queue), submit.job())),
                    true,
                    Optional.empty());
        }
        if (queue.isEmpty()) {
            return new Decision.Accept();
        }
        if (ZoneEvacuation.isServiceEvacuated(state, queue.get().service())) {
            return zonesEvacuated(state, submit, queue.get());
        }
        Decision decision =
                state.policies()
                        .order()
                        .admission()
                        .decide(state, submit, queue.get(), withinShare);
        return decision instanceof Decision.Reject
                        && hasUnclaimedRoom(state, submit, queue.get())
                        && hasRoom(state, submit, queue.get(), withinShare)
                ? new Decision.Accept()
                : decision;
    }

    /** Returns whether the forecast shows room for the job now. */
    private static boolean hasRoom(
            WorkflowState state, Call.Submit submit, Queue queue, boolean withinShare) {
        Urgency.Rank rank = withinShare ? Urgency.Rank.ON_TIME : Urgency.Rank.OVER_SHARE;
        return state.forecast().hasRoom(submit.definition(), submit.team(), queue, rank);
    }

    /** Returns whether capacity for the first steps of the job is free that no other job claims. */
    static boolean hasUnclaimedRoom(WorkflowState state, Call.Submit submit, Queue queue) {
        return state.backlogs()
                .hasUnclaimedRoom(queue.service(), submit.definition().initialMillicores());
    }

    /** Returns the rejection of a job whose service has workers in evacuated zones only. */
    private static Decision.Reject zonesEvacuated(
            WorkflowState state, Call.Submit submit, Queue queue) {
        Rejection rejection =
                new Rejection(EVACUATED_RETRY_AFTER_MILLIS, 0, queue.priority(), submit.job());
        return new Decision.Reject(
                "zones-evacuated", retryAfterMillis(state, rejection), false, Optional.empty());
    }

    /** Decides by the work of the same or a more urgent priority that waits for capacity. */
    static Decision decideByPriority(
            WorkflowState state, Call.Submit submit, Queue queue, boolean withinShare) {
        TeamShare share = state.policies().share();
        OptionalLong shareDelay =
                share.rejectionDelayMillis(state, submit.team(), queue, withinShare);
        if (shareDelay.isPresent()) {
            return overShare(state, submit, queue, shareDelay.getAsLong(), Optional.empty());
        }
        long waitMillis =
                state.forecast()
                        .expectedWaitMillis(submit.definition(), submit.team(), queue)
                        .orElseGet(
                                () ->
                                        share.expectedWaitMillis(
                                                state, submit.team(), queue, withinShare));
        double objectiveMillis = Urgency.objectiveMillis(state, submit.definition(), queue);
        return waitMillis > Urgency.MAX_OBJECTIVE_FACTOR * objectiveMillis
                ? tooLate(state, submit, queue, waitMillis, Optional.empty())
                : new Decision.Accept();
    }

    /** Returns the rejection of a job that could not be served in time. */
    static Decision.Reject tooLate(
            WorkflowState state,
            Call.Submit submit,
            Queue queue,
            long waitMillis,
            Optional<Long> orderValueMillis) {
        Rejection rejection = new Rejection(waitMillis, 0, queue.priority(), submit.job());
        return new Decision.Reject(
                "too-late", retryAfterMillis(state, rejection), true, orderValueMillis);
    }

    /** Returns the rejection of a job of a team that is over its share. */
    static Decision.Reject overShare(
            WorkflowState state,
            Call.Submit submit,
            Queue queue,
            long waitMillis,
            Optional<Long> orderValueMillis) {
        double weight =
                state.configuration()
                        .flatMap(c -> c.team(submit.team()))
                        .map(CellConfiguration.Team::weight)
                        .orElse(0.0);
        long shareWaitMillis =
                state.teamBuckets().millisUntilToken(submit.team(), weight, state.now());
        Rejection rejection =
                new Rejection(waitMillis, shareWaitMillis, queue.priority(), submit.job());
        return new Decision.Reject(
                "beyond-share", retryAfterMillis(state, rejection), true, orderValueMillis);
    }

    /** Returns the rejection of {@code job} because the store does not answer. */
    static Decision.Reject rejectStoreUnreachable(WorkflowState state, String queue, String job) {
        int priority = priority(state.configuration().flatMap(c -> c.queue(queue)));
        Rejection rejection = new Rejection(STORE_RETRY_AFTER_MILLIS, 0, priority, job);
        return new Decision.Reject(
                "store-silent", retryAfterMillis(state, rejection), false, Optional.empty());
    }

    private static int priority(Optional<Queue> queue) {
        return queue.map(Queue::priority).orElse(0);
    }

    private static long retryAfterMillis(WorkflowState state, Rejection rejection) {
        return state.policies().retry().retryAfterMillis(rejection);
    }
}
