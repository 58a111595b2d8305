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
final class Progress {
    /** Longest message of a task that the record keeps as the reason of a failed job. */
    private static final int MAX_MESSAGE = 300;

    private Progress() {}

    /** Returns whether {@code record} shows everything that {@code end} would add. */
    static boolean covers(JobRecord record, PendingEnd end) {
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
            case CHECKPOINTED -> progressOf(record, end.index()) >= end.progress();
            case STOPPED, LEASE_EXPIRED -> true;
        };
    }

    /** Returns whether the record of a job of {@code kind} has to show such an end. */
    static boolean isRecorded(WorkKind kind, EndReason reason) {
        return switch (kind) {
            case GANG -> true;
            case BATCH -> reason != EndReason.STOPPED && reason != EndReason.LEASE_EXPIRED;
            default -> false;
        };
    }

    /** Returns {@code record} with {@code end}. */
    static JobRecord merge(JobRecord record, PendingEnd end, int maxAttempts) {
        if (covers(record, end)) {
            return record;
        }
        if (record.kind() == WorkKind.GANG && end.reason() != EndReason.SUCCEEDED) {
            return nextRun(record, end, maxAttempts);
        }
        return switch (end.reason()) {
            case SUCCEEDED -> succeeded(record, end.index());
            case FAILED -> failed(record, end, end.index(), end.attempt(), maxAttempts);
            case CHECKPOINTED ->
                    record.withProgress(record.progress().plus(end.index(), end.progress()));
            case STOPPED, LEASE_EXPIRED -> record;
        };
    }

    private static JobRecord succeeded(JobRecord record, int index) {
        JobRecord added =
                record.withSucceeded(record.succeeded().plus(index))
                        .withProgress(record.progress().minus(index));
        return added.succeeded().size() == record.tasks()
                ? added.in(JobState.SUCCEEDED, "")
                : added;
    }

    private static JobRecord nextRun(JobRecord record, PendingEnd end, int maxAttempts) {
        JobRecord next = record.inRun(end.attempt() + 1).withSucceeded(TreePSet.empty());
        return end.reason() == EndReason.FAILED
                ? failed(next, end, 0, record.failedAttempts(0) + 1, maxAttempts)
                : next;
    }

    private static JobRecord failed(
            JobRecord record, PendingEnd end, int counter, int attempt, int maxAttempts) {
        JobRecord counted = record.withAttempts(record.attempts().plus(counter, attempt));
        if (attempt < maxAttempts) {
            return counted;
        }
        String message =
                end.message().length() <= MAX_MESSAGE
                        ? end.message()
                        : end.message().substring(0, MAX_MESSAGE);
        return counted.in(
                JobState.FAILED,
                "task " + end.index() + " failed in attempt " + attempt + ": " + message);
    }

    private static double progressOf(JobRecord record, int index) {
        Double done = record.progress().get(index);
        return done == null ? 0 : done;
    }
}
