package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.placement.Workers;
import org.pcollections.PSortedMap;

/**
 * Writes changes of job records to the store by compare-and-swap.
 *
 * <p>A change stays pending until a record that includes the change was read from the store, or the
 * write of the change was confirmed. A lost response, a conflict and a write by another entry are
 * therefore handled alike: the newest record decides which changes are still missing.
 */
final class JobRecordWriter {
    /** Interval over which task completions are batched, so that a job is written once a second. */
    static final long BATCH_INTERVAL_MILLIS = 1_000;

    /** Time after which a write without a response counts as failed. */
    static final long WRITE_TIMEOUT_MILLIS = 15_000;

    /** Upper bound of the backoff, without jitter, between failed writes of the same record. */
    static final long MAX_BACKOFF_MILLIS = 16_000;

    /**
     * Rate limit of the writes of one entry. At this limit, eight entries stay within the several
     * hundred writes per second that the store can take, even if all of them write after an outage.
     */
    static final int MAX_WRITES_PER_SECOND = 40;

    /** Time after which pending changes of a job that has no record in the store are discarded. */
    static final long UNKNOWN_JOB_TIMEOUT_MILLIS = 60_000;

    private static final int MAX_DOUBLINGS = 4;

    private JobRecordWriter() {}

    /**
     * Adds the completion of a task to the pending update of its job. The completion is
     * acknowledged to the worker once the stored record includes it, which may already be the case.
     */
    static Transition addCompletion(State state, JobId job, PendingCompletion completion) {
        JobTable table = state.jobs();
        Optional<JobRecord> record = table.record(job);
        if (record.isPresent() && CompletionMerger.includes(record.get(), completion)) {
            return Transition.of(acknowledge(state, completion));
        }
        PendingJobUpdate update = pendingUpdate(state, job);
        Optional<JobRecord> projected =
                table.projectedRecord(job)
                        .map(r -> CompletionMerger.merge(r, completion, maxAttempts(state)));
        return Transition.of(
                withPendingUpdate(
                        state,
                        job,
                        update.withCompletions(
                                        update.completions().plus(completion.task(), completion))
                                .withProjected(projected)));
    }

    /** Adds the cancellation of {@code job} to its pending update. */
    static State cancel(State state, JobId job) {
        PendingJobUpdate update = pendingUpdate(state, job).withCancel(true);
        return withPendingUpdate(state, job, update.withProjected(project(state, job, update)));
    }

    /**
     * Sets the pending change to the parts of {@code job}. An empty value discards the pending
     * change, if there is one.
     */
    static State changeParts(State state, JobId job, Optional<JobPartChange> change) {
        PendingJobUpdate update = pendingUpdate(state, job).withPartChange(change);
        return isEmpty(update)
                ? state.withJobs(state.jobs().withPendingUpdate(job, Optional.empty()))
                : withPendingUpdate(state, job, update.withProjected(project(state, job, update)));
    }

    private static PendingJobUpdate pendingUpdate(State state, JobId job) {
        PendingJobUpdate existing = state.jobs().pendingUpdates().get(job);
        return existing != null
                ? existing
                : PendingJobUpdate.createdAt(
                        state.nowMillis(), state.nowMillis() + BATCH_INTERVAL_MILLIS);
    }

    /**
     * Sets the pending update of {@code job}. The update is due at once if it cancels or ends the
     * job or changes its parts, since callers or other shards wait for such updates.
     */
    private static State withPendingUpdate(State state, JobId job, PendingJobUpdate update) {
        boolean isUrgent =
                update.cancel()
                        || update.partChange().isPresent()
                        || update.projected().map(v -> v.state().isFinal()).orElse(false);
        boolean writeNow = isUrgent && !update.inFlight() && update.consecutiveFailures() == 0;
        PendingJobUpdate scheduled =
                writeNow
                        ? update.withDueMillis(Math.min(update.dueMillis(), state.nowMillis()))
                        : update;
        return state.withJobs(state.jobs().withPendingUpdate(job, Optional.of(scheduled)));
    }

    private static Optional<JobRecord> project(State state, JobId job, PendingJobUpdate update) {
        Optional<JobRecord> record = state.jobs().record(job);
        if (record.isEmpty()) {
            return record;
        }
        JobRecord merged = record.get();
        for (PendingCompletion completion : update.completions().values()) {
            merged = CompletionMerger.merge(merged, completion, maxAttempts(state));
        }
        if (update.partChange().isPresent()) {
            merged = update.partChange().get().applyTo(merged);
        }
        return Optional.of(
                update.cancel() && !merged.state().isFinal()
                        ? merged.withState(JobState.CANCELLED, "cancelled by a caller")
                        : merged);
    }

    private static boolean isEmpty(PendingJobUpdate update) {
        return update.completions().isEmpty() && !update.cancel() && update.partChange().isEmpty();
    }

    /**
     * Drops the pending changes that the newest record includes, and acknowledges their completions
     * to the workers.
     */
    static Transition dropRecorded(State state, JobId job) {
        PendingJobUpdate update = state.jobs().pendingUpdates().get(job);
        StoredJob stored = state.jobs().records().get(job);
        if (update == null || stored == null) {
            return Transition.of(state);
        }
        JobRecord record = stored.record();
        State result = state;
        PSortedMap<TaskId, PendingCompletion> remaining = update.completions();
        for (PendingCompletion completion : update.completions().values()) {
            if (CompletionMerger.includes(record, completion)) {
                remaining = remaining.minus(completion.task());
                result = acknowledge(result, completion);
            }
        }
        // A newer record resolves a conflict, so the backoff that the conflict caused ends.
        long nextWriteMillis =
                Math.min(update.dueMillis(), state.nowMillis() + BATCH_INTERVAL_MILLIS);
        PendingJobUpdate withoutBackoff =
                update.inFlight() ? update : update.withWriteEnded(0, nextWriteMillis);
        PendingJobUpdate reduced =
                withoutBackoff
                        .withCompletions(remaining)
                        .withCancel(update.cancel() && !record.state().isFinal())
                        .withPartChange(update.partChange().filter(e -> !e.isResolved(stored)));
        return Transition.of(
                isEmpty(reduced)
                        ? result.withJobs(result.jobs().withPendingUpdate(job, Optional.empty()))
                        : withPendingUpdate(
                                result, job, reduced.withProjected(project(result, job, reduced))));
    }

    private static State acknowledge(State state, PendingCompletion completion) {
        return completion
                .worker()
                .map(w -> Workers.acknowledge(state, w, completion.task()))
                .orElse(state);
    }

    /** Handles the confirmation of the write of {@code job} that is in flight. */
    static State writeConfirmed(State state, JobId job) {
        PendingJobUpdate update = state.jobs().pendingUpdates().get(job);
        return update == null || !update.inFlight()
                ? state
                : withPendingUpdate(
                        state,
                        job,
                        update.withWriteEnded(0, state.nowMillis() + BATCH_INTERVAL_MILLIS));
    }

    /** Handles the failure of the write that is in flight, and schedules a retry. */
    static Transition writeFailed(State state, JobEvent.JobWriteFailed event) {
        PendingJobUpdate update = state.jobs().pendingUpdates().get(event.job());
        if (update == null || !update.inFlight()) {
            return Transition.of(state);
        }
        return Transition.of(retry(state, event.job(), update));
    }

    private static State retry(State state, JobId job, PendingJobUpdate update) {
        long backoff =
                Math.min(
                        MAX_BACKOFF_MILLIS,
                        BATCH_INTERVAL_MILLIS
                                << Math.min(update.consecutiveFailures(), MAX_DOUBLINGS));
        // Jitter by job and entry spreads the retries of writes that failed at the same time.
        long jitter =
                Math.floorMod(job.value().hashCode() * 31L + state.self().id().hashCode(), backoff);
        PendingJobUpdate retrying =
                update.withWriteEnded(
                        update.consecutiveFailures() + 1, state.nowMillis() + backoff + jitter);
        return state.withJobs(state.jobs().withPendingUpdate(job, Optional.of(retrying)));
    }

    /** Sends the writes that are due, up to {@link #MAX_WRITES_PER_SECOND}. */
    static Transition tick(State state) {
        Transition result = Transition.of(startWindowIfDue(state));
        while (true) {
            JobWriteQueue writes = result.state().jobs().writeQueue();
            TimedJob dueWrite = writes.byDueTime().isEmpty() ? null : writes.byDueTime().first();
            if (dueWrite == null
                    || dueWrite.atMillis() > state.nowMillis()
                    || writes.windowWriteCount() >= MAX_WRITES_PER_SECOND) {
                return result;
            }
            result = result.then(s -> writeOrRetry(s, dueWrite.job()));
        }
    }

    private static State startWindowIfDue(State state) {
        JobTable table = state.jobs();
        boolean isWindowOver =
                state.nowMillis() - table.writeQueue().windowStartMillis() >= BATCH_INTERVAL_MILLIS;
        return isWindowOver
                ? state.withJobs(
                        table.withWriteQueue(table.writeQueue().withNewWindow(state.nowMillis())))
                : state;
    }

    private static Transition writeOrRetry(State state, JobId job) {
        JobTable table = state.jobs();
        PendingJobUpdate update = table.pendingUpdates().get(job);
        if (update.inFlight()) {
            return Transition.of(retry(state, job, update));
        }
        StoredJob stored = table.records().get(job);
        if (stored == null) {
            return Transition.of(waitForRecord(state, job, update));
        }
        PendingJobUpdate sent = update.withWriteStarted(state.nowMillis() + WRITE_TIMEOUT_MILLIS);
        JobWriteQueue queue =
                table.writeQueue().withUpdate(job, Optional.of(sent)).withWriteCounted();
        return Transition.of(state.withJobs(table.withWriteQueue(queue)))
                .with(
                        new StoreEffect.WriteJob(
                                stored.revision(), update.projected().orElseThrow()));
    }

    /**
     * Postpones an update whose job has no known record, since the watch may not have delivered it
     * yet. If the record is still missing after a minute, and this entry is in contact with the
     * store, the job was removed and the update is discarded.
     */
    private static State waitForRecord(State state, JobId job, PendingJobUpdate update) {
        boolean isJobRemoved =
                state.nowMillis() - update.createdMillis() >= UNKNOWN_JOB_TIMEOUT_MILLIS
                        && ConfigurationFreshness.isStoreContactFresh(state);
        return isJobRemoved
                ? discard(state, job)
                : state.withJobs(
                        state.jobs()
                                .withPendingUpdate(
                                        job,
                                        Optional.of(
                                                update.withDueMillis(
                                                        state.nowMillis()
                                                                + BATCH_INTERVAL_MILLIS))));
    }

    /** Discards the pending update of a job that was removed, and acknowledges its completions. */
    static State discard(State state, JobId job) {
        PendingJobUpdate update = state.jobs().pendingUpdates().get(job);
        if (update == null) {
            return state;
        }
        State result = state.withJobs(state.jobs().withPendingUpdate(job, Optional.empty()));
        for (PendingCompletion completion : update.completions().values()) {
            result = acknowledge(result, completion);
        }
        return result;
    }

    /** Answers the callers whose submission or cancellation is included in the newest record. */
    static Transition answerCallers(State state, JobId job) {
        Optional<JobRecord> record = state.jobs().record(job);
        if (record.isEmpty()) {
            return Transition.of(state);
        }
        Transition result = Transition.of(state);
        for (WaitingCaller caller : state.jobs().callersOf(job)) {
            if (!caller.cancel() || record.get().state().isFinal()) {
                result =
                        result.with(new RequestEffect.AcceptJob(caller.request(), job))
                                .then(
                                        s ->
                                                Transition.of(
                                                        s.withJobs(
                                                                s.jobs().withoutCaller(caller))));
            }
        }
        return result;
    }

    private static int maxAttempts(State state) {
        return state.configuration()
                .map(c -> c.tuning().maxAttempts())
                .orElse(Tuning.DEFAULT.maxAttempts());
    }
}
