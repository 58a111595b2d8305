package org.jujubefork.core.jobs;

import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.TreePSet;

/**
 * Merges ends of tasks into a job's record.
 *
 * <p>Merging an end that the record already holds changes nothing, so an end that a worker reports
 * twice, or that two owners write, is counted once.
 */
final class CompletionMerger {
    /** Longest message of a task that the record keeps as the reason of a failed job. */
    private static final int MAX_MESSAGE_CHARS = 300;

    private CompletionMerger() {}

    /** Returns whether {@code record} shows everything that {@code end} would add. */
    static boolean includes(JobRecord record, PendingCompletion end) {
        if (record.state().isFinal() || record.kind() == WorkKind.SERVICE) {
            return true;
        }
        if (record.kind() == WorkKind.GANG) {
            return record.run() > end.attempt()
                    || (end.reason() == EndReason.SUCCEEDED
                            && record.succeeded().contains(end.index()));
        }
        if (record.succeeded().contains(end.index())) {
            return true;
        }
        return switch (end.reason()) {
            case SUCCEEDED -> false;
            case FAILED -> record.failedAttempts(end.index()) >= end.attempt();
            case CHECKPOINTED -> checkpointedProgress(record, end.index()) >= end.progress();
            case STOPPED, LEASE_EXPIRED -> true;
        };
    }

    /** Returns whether the record of a job of {@code kind} has to show such an end. */
    static boolean mustBeRecorded(WorkKind kind, EndReason reason) {
        return switch (kind) {
            case GANG -> true;
            case BATCH -> reason != EndReason.STOPPED && reason != EndReason.LEASE_EXPIRED;
            default -> false;
        };
    }

    /** Returns {@code record} with {@code end}. */
    static JobRecord merge(JobRecord record, PendingCompletion end, int maxAttempts) {
        if (includes(record, end)) {
            return record;
        }
        if (record.kind() == WorkKind.GANG && end.reason() != EndReason.SUCCEEDED) {
            return withNextRun(record, end, maxAttempts);
        }
        return switch (end.reason()) {
            case SUCCEEDED -> withSuccess(record, end.index());
            case FAILED -> withFailure(record, end, end.index(), end.attempt(), maxAttempts);
            case CHECKPOINTED ->
                    record.withProgress(record.progress().plus(end.index(), end.progress()));
            case STOPPED, LEASE_EXPIRED -> record;
        };
    }

    private static JobRecord withSuccess(JobRecord record, int index) {
        JobRecord added =
                record.withSucceeded(record.succeeded().plus(index))
                        .withProgress(record.progress().minus(index));
        return added.succeeded().size() == record.tasks()
                ? added.withState(JobState.SUCCEEDED, "")
                : added;
    }

    private static JobRecord withNextRun(JobRecord record, PendingCompletion end, int maxAttempts) {
        JobRecord next = record.withRun(end.attempt() + 1).withSucceeded(TreePSet.empty());
        return end.reason() == EndReason.FAILED
                ? withFailure(next, end, 0, record.failedAttempts(0) + 1, maxAttempts)
                : next;
    }

    private static JobRecord withFailure(
            JobRecord record, PendingCompletion end, int counter, int attempt, int maxAttempts) {
        JobRecord counted =
                record.withFailedAttempts(record.failedAttempts().plus(counter, attempt));
        if (attempt < maxAttempts) {
            return counted;
        }
        String message =
                end.message().length() <= MAX_MESSAGE_CHARS
                        ? end.message()
                        : end.message().substring(0, MAX_MESSAGE_CHARS);
        return counted.withState(
                JobState.FAILED,
                "task " + end.index() + " failed in attempt " + attempt + ": " + message);
    }

    private static double checkpointedProgress(JobRecord record, int index) {
        Double done = record.progress().get(index);
        return done == null ? 0 : done;
    }
}
