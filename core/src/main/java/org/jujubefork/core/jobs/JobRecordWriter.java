package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.membership.Freshness;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.placement.Workers;
import org.pcollections.PSortedMap;

/**
 * Writes changes of job records by compare-and-swap.
 *
 * <p>What has to be added to a record is kept until a record that shows it was read back or
 * confirmed. A lost answer, a conflict and a write of another entry all end in the same way: the
 * newest record decides what is still missing.
 */
final class JobRecordWriter {
    /** Time in which ends of tasks are collected, so that a job is written once a second. */
    static final long BATCH_INTERVAL_MILLIS = 1_000;

    /** Time after which the answer to a write is no longer expected. */
    static final long WRITE_TIMEOUT_MILLIS = 15_000;

    /** Longest time between two writes of the same record that fail. */
    static final long MAX_BACKOFF_MILLIS = 16_000;

    /**
     * Writes per second of one entry: eight entries then stay within the several hundred writes per
     * second that the store takes, also when all of them write after an outage.
     */
    static final int MAX_WRITES_PER_SECOND = 40;

    /** Time after which ends for a job that the store does not hold are given up. */
    static final long UNKNOWN_JOB_TIMEOUT_MILLIS = 60_000;

    private static final int MAX_DOUBLINGS = 4;

    private JobRecordWriter() {}

    /** Keeps the end of a task until the record shows it, and then acknowledges it. */
    static Transition addCompletion(State state, JobId job, PendingCompletion end) {
        JobTable table = state.jobs();
        Optional<JobRecord> record = table.record(job);
        if (record.isPresent() && CompletionMerger.includes(record.get(), end)) {
            return Transition.of(acknowledge(state, end));
        }
        PendingJobUpdate work = pendingUpdate(state, job);
        Optional<JobRecord> view =
                table.projectedRecord(job)
                        .map(r -> CompletionMerger.merge(r, end, maxAttempts(state)));
        return Transition.of(
                withPendingUpdate(
                        state,
                        job,
                        work.withCompletions(work.completions().plus(end.task(), end))
                                .withProjected(view)));
    }

    /** Has the record show that the job is cancelled. */
    static State cancel(State state, JobId job) {
        PendingJobUpdate work = pendingUpdate(state, job).withCancel(true);
        return withPendingUpdate(state, job, work.withProjected(project(state, job, work)));
    }

    /** Has the record show a change of parts; an empty edit withdraws one that was not written. */
    static State changeParts(State state, JobId job, Optional<JobPartChange> edit) {
        PendingJobUpdate work = pendingUpdate(state, job).withPartChange(edit);
        return isEmpty(work)
                ? state.withJobs(state.jobs().withPendingUpdate(job, Optional.empty()))
                : withPendingUpdate(state, job, work.withProjected(project(state, job, work)));
    }

    private static PendingJobUpdate pendingUpdate(State state, JobId job) {
        PendingJobUpdate known = state.jobs().pendingUpdates().get(job);
        return known != null
                ? known
                : PendingJobUpdate.createdAt(
                        state.nowMillis(), state.nowMillis() + BATCH_INTERVAL_MILLIS);
    }

    /** Keeps {@code work}; a change that others wait for is written at once. */
    private static State withPendingUpdate(State state, JobId job, PendingJobUpdate work) {
        boolean urgent =
                work.cancel()
                        || work.partChange().isPresent()
                        || work.projected().map(v -> v.state().isFinal()).orElse(false);
        boolean now = urgent && !work.inFlight() && work.consecutiveFailures() == 0;
        PendingJobUpdate timed =
                now ? work.withDueMillis(Math.min(work.dueMillis(), state.nowMillis())) : work;
        return state.withJobs(state.jobs().withPendingUpdate(job, Optional.of(timed)));
    }

    private static Optional<JobRecord> project(State state, JobId job, PendingJobUpdate work) {
        Optional<JobRecord> record = state.jobs().record(job);
        if (record.isEmpty()) {
            return record;
        }
        JobRecord merged = record.get();
        for (PendingCompletion end : work.completions().values()) {
            merged = CompletionMerger.merge(merged, end, maxAttempts(state));
        }
        if (work.partChange().isPresent()) {
            merged = work.partChange().get().applyTo(merged);
        }
        return Optional.of(
                work.cancel() && !merged.state().isFinal()
                        ? merged.withState(JobState.CANCELLED, "cancelled by a caller")
                        : merged);
    }

    private static boolean isEmpty(PendingJobUpdate work) {
        return work.completions().isEmpty() && !work.cancel() && work.partChange().isEmpty();
    }

    /** Drops what the newest record shows, and acknowledges it. */
    static Transition dropRecorded(State state, JobId job) {
        PendingJobUpdate work = state.jobs().pendingUpdates().get(job);
        StoredJob stored = state.jobs().records().get(job);
        if (work == null || stored == null) {
            return Transition.of(state);
        }
        JobRecord record = stored.record();
        State result = state;
        PSortedMap<TaskId, PendingCompletion> left = work.completions();
        for (PendingCompletion end : work.completions().values()) {
            if (CompletionMerger.includes(record, end)) {
                left = left.minus(end.task());
                result = acknowledge(result, end);
            }
        }
        // A newer record ends the wait that a conflict caused.
        long soon = Math.min(work.dueMillis(), state.nowMillis() + BATCH_INTERVAL_MILLIS);
        PendingJobUpdate open = work.inFlight() ? work : work.withWriteEnded(0, soon);
        PendingJobUpdate rest =
                open.withCompletions(left)
                        .withCancel(work.cancel() && !record.state().isFinal())
                        .withPartChange(work.partChange().filter(e -> !e.isResolved(stored)));
        return Transition.of(
                isEmpty(rest)
                        ? result.withJobs(result.jobs().withPendingUpdate(job, Optional.empty()))
                        : withPendingUpdate(
                                result, job, rest.withProjected(project(result, job, rest))));
    }

    private static State acknowledge(State state, PendingCompletion end) {
        return end.worker().map(w -> Workers.acknowledge(state, w, end.task())).orElse(state);
    }

    /** Notes that the newest write of {@code job} was confirmed. */
    static State writeConfirmed(State state, JobId job) {
        PendingJobUpdate work = state.jobs().pendingUpdates().get(job);
        return work == null || !work.inFlight()
                ? state
                : withPendingUpdate(
                        state,
                        job,
                        work.withWriteEnded(0, state.nowMillis() + BATCH_INTERVAL_MILLIS));
    }

    /** Notes that the newest write of {@code job} failed, and has it sent again later. */
    static Transition writeFailed(State state, JobEvent.JobWriteFailed event) {
        PendingJobUpdate work = state.jobs().pendingUpdates().get(event.job());
        if (work == null || !work.inFlight()) {
            return Transition.of(state);
        }
        return Transition.of(retry(state, event.job(), work));
    }

    private static State retry(State state, JobId job, PendingJobUpdate work) {
        long backoff =
                Math.min(
                        MAX_BACKOFF_MILLIS,
                        BATCH_INTERVAL_MILLIS
                                << Math.min(work.consecutiveFailures(), MAX_DOUBLINGS));
        // Entries and jobs that failed together try again at different times.
        long spread =
                Math.floorMod(job.value().hashCode() * 31L + state.self().id().hashCode(), backoff);
        PendingJobUpdate later =
                work.withWriteEnded(
                        work.consecutiveFailures() + 1, state.nowMillis() + backoff + spread);
        return state.withJobs(state.jobs().withPendingUpdate(job, Optional.of(later)));
    }

    /** Sends the writes that are due, as many as the store should get in a second. */
    static Transition tick(State state) {
        Transition result = Transition.of(startWindowIfDue(state));
        while (true) {
            JobWriteQueue writes = result.state().jobs().writeQueue();
            TimedJob next = writes.byDueTime().isEmpty() ? null : writes.byDueTime().first();
            if (next == null
                    || next.atMillis() > state.nowMillis()
                    || writes.windowWriteCount() >= MAX_WRITES_PER_SECOND) {
                return result;
            }
            result = result.then(s -> writeOrRetry(s, next.job()));
        }
    }

    private static State startWindowIfDue(State state) {
        JobTable table = state.jobs();
        boolean over =
                state.nowMillis() - table.writeQueue().windowStartMillis() >= BATCH_INTERVAL_MILLIS;
        return over
                ? state.withJobs(
                        table.withWriteQueue(table.writeQueue().withNewWindow(state.nowMillis())))
                : state;
    }

    private static Transition writeOrRetry(State state, JobId job) {
        JobTable table = state.jobs();
        PendingJobUpdate work = table.pendingUpdates().get(job);
        if (work.inFlight()) {
            return Transition.of(retry(state, job, work));
        }
        StoredJob stored = table.records().get(job);
        if (stored == null) {
            return Transition.of(waitForRecord(state, job, work));
        }
        PendingJobUpdate sent = work.withWriteStarted(state.nowMillis() + WRITE_TIMEOUT_MILLIS);
        JobWriteQueue counted =
                table.writeQueue().withUpdate(job, Optional.of(sent)).withWriteCounted();
        return Transition.of(state.withJobs(table.withWriteQueue(counted)))
                .with(new StoreEffect.WriteJob(stored.revision(), work.projected().orElseThrow()));
    }

    /**
     * Waits for a record that the watch has not brought yet. The ends of a job whose record the
     * store has not held for a minute belong to a job that was removed.
     */
    private static State waitForRecord(State state, JobId job, PendingJobUpdate work) {
        boolean gone =
                state.nowMillis() - work.createdMillis() >= UNKNOWN_JOB_TIMEOUT_MILLIS
                        && Freshness.isStoreContactFresh(state);
        return gone
                ? discard(state, job)
                : state.withJobs(
                        state.jobs()
                                .withPendingUpdate(
                                        job,
                                        Optional.of(
                                                work.withDueMillis(
                                                        state.nowMillis()
                                                                + BATCH_INTERVAL_MILLIS))));
    }

    /** Acknowledges all ends of a job that is gone. */
    static State discard(State state, JobId job) {
        PendingJobUpdate work = state.jobs().pendingUpdates().get(job);
        if (work == null) {
            return state;
        }
        State result = state.withJobs(state.jobs().withPendingUpdate(job, Optional.empty()));
        for (PendingCompletion end : work.completions().values()) {
            result = acknowledge(result, end);
        }
        return result;
    }

    /** Answers the callers whose submission or cancellation the newest record shows. */
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
