package org.jujubefork.core.jobs;

import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.TreePSet;

/**
 * Merges completions of tasks into job records.
 *
 * <p>Merging is idempotent: a completion that the record already includes changes nothing.
 * Therefore a completion that a worker reports twice, or that two owners write, is counted once.
 */
final class CompletionMerger {
    /** Maximum length of a task message in the reason of a failed job; the rest is cut off. */
    private static final int MAX_MESSAGE_CHARS = 300;

    private CompletionMerger() {}

    /** Returns whether merging {@code completion} into {@code record} would change nothing. */
    static boolean includes(JobRecord record, PendingCompletion completion) {
        if (record.state().isFinal() || record.kind() == WorkKind.SERVICE) {
            return true;
        }
        if (record.kind() == WorkKind.GANG) {
            return record.run() > completion.attempt()
                    || (completion.reason() == EndReason.SUCCEEDED
                            && record.succeeded().contains(completion.index()));
        }
        if (record.succeeded().contains(completion.index())) {
            return true;
        }
        return switch (completion.reason()) {
            case SUCCEEDED -> false;
            case FAILED -> record.failedAttempts(completion.index()) >= completion.attempt();
            case CHECKPOINTED ->
                    checkpointedProgress(record, completion.index()) >= completion.progress();
            case STOPPED, LEASE_EXPIRED -> true;
        };
    }

    /**
     * Returns whether a completion for {@code reason} must be written to a record of {@code kind}.
     */
    static boolean mustBeRecorded(WorkKind kind, EndReason reason) {
        return switch (kind) {
            case GANG -> true;
            case BATCH -> reason != EndReason.STOPPED && reason != EndReason.LEASE_EXPIRED;
            default -> false;
        };
    }

    /**
     * Returns {@code record} with {@code completion} merged into it. The job fails if a task, or
     * the gang, has failed {@code maxAttempts} times.
     */
    static JobRecord merge(JobRecord record, PendingCompletion completion, int maxAttempts) {
        if (includes(record, completion)) {
            return record;
        }
        if (record.kind() == WorkKind.GANG && completion.reason() != EndReason.SUCCEEDED) {
            return withNextRun(record, completion, maxAttempts);
        }
        return switch (completion.reason()) {
            case SUCCEEDED -> withSuccess(record, completion.index());
            case FAILED ->
                    withFailure(
                            record,
                            completion,
                            completion.index(),
                            completion.attempt(),
                            maxAttempts);
            case CHECKPOINTED ->
                    record.withProgress(
                            record.progress().plus(completion.index(), completion.progress()));
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

    private static JobRecord withNextRun(
            JobRecord record, PendingCompletion completion, int maxAttempts) {
        JobRecord withRunAdvanced =
                record.withRun(completion.attempt() + 1).withSucceeded(TreePSet.empty());
        return completion.reason() == EndReason.FAILED
                ? withFailure(
                        withRunAdvanced, completion, 0, record.failedAttempts(0) + 1, maxAttempts)
                : withRunAdvanced;
    }

    private static JobRecord withFailure(
            JobRecord record,
            PendingCompletion completion,
            int counterIndex,
            int attempt,
            int maxAttempts) {
        JobRecord counted =
                record.withFailedAttempts(record.failedAttempts().plus(counterIndex, attempt));
        if (attempt < maxAttempts) {
            return counted;
        }
        String message =
                completion.message().length() <= MAX_MESSAGE_CHARS
                        ? completion.message()
                        : completion.message().substring(0, MAX_MESSAGE_CHARS);
        return counted.withState(
                JobState.FAILED,
                "task " + completion.index() + " failed in attempt " + attempt + ": " + message);
    }

    private static double checkpointedProgress(JobRecord record, int index) {
        Double fraction = record.progress().get(index);
        return fraction == null ? 0 : fraction;
    }
}
