package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.TaskId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Changes that this entry has yet to write to the record of a job.
 *
 * @param createdMillis when the first of these changes was added
 * @param completions completions of tasks that the record does not include yet
 * @param cancel whether the job is to be cancelled
 * @param partChange a change of the parts, as a step of a task migration
 * @param projected the stored record with these changes applied; empty if no record is known
 * @param inFlight whether a write of the record is in flight
 * @param dueMillis when the next write is due; while a write is in flight, when it times out
 * @param consecutiveFailures the number of writes in a row that failed
 */
public record PendingJobUpdate(
        long createdMillis,
        PSortedMap<TaskId, PendingCompletion> completions,
        boolean cancel,
        Optional<JobPartChange> partChange,
        Optional<JobRecord> projected,
        boolean inFlight,
        long dueMillis,
        int consecutiveFailures) {
    static PendingJobUpdate createdAt(long nowMillis, long dueMillis) {
        return new PendingJobUpdate(
                nowMillis,
                TreePMap.empty(),
                false,
                Optional.empty(),
                Optional.empty(),
                false,
                dueMillis,
                0);
    }

    PendingJobUpdate withCompletions(PSortedMap<TaskId, PendingCompletion> value) {
        return new PendingJobUpdate(
                createdMillis,
                value,
                cancel,
                partChange,
                projected,
                inFlight,
                dueMillis,
                consecutiveFailures);
    }

    PendingJobUpdate withCancel(boolean value) {
        return new PendingJobUpdate(
                createdMillis,
                completions,
                value,
                partChange,
                projected,
                inFlight,
                dueMillis,
                consecutiveFailures);
    }

    PendingJobUpdate withPartChange(Optional<JobPartChange> value) {
        return new PendingJobUpdate(
                createdMillis,
                completions,
                cancel,
                value,
                projected,
                inFlight,
                dueMillis,
                consecutiveFailures);
    }

    PendingJobUpdate withProjected(Optional<JobRecord> value) {
        return new PendingJobUpdate(
                createdMillis,
                completions,
                cancel,
                partChange,
                value,
                inFlight,
                dueMillis,
                consecutiveFailures);
    }

    PendingJobUpdate withDueMillis(long millis) {
        return new PendingJobUpdate(
                createdMillis,
                completions,
                cancel,
                partChange,
                projected,
                inFlight,
                millis,
                consecutiveFailures);
    }

    PendingJobUpdate withWriteStarted(long timeoutAtMillis) {
        return new PendingJobUpdate(
                createdMillis,
                completions,
                cancel,
                partChange,
                projected,
                true,
                timeoutAtMillis,
                consecutiveFailures);
    }

    PendingJobUpdate withWriteEnded(int failureCount, long nextWriteAtMillis) {
        return new PendingJobUpdate(
                createdMillis,
                completions,
                cancel,
                partChange,
                projected,
                false,
                nextWriteAtMillis,
                failureCount);
    }
}
