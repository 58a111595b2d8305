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
 * Writes changes of job records by compare-and-swap.
 *
 * <p>What has to be added to a record is kept until a record that shows it was read back or
 * confirmed. A lost answer, a conflict and a write of another entry all end in the same way: the
 * newest record decides what is still missing.
 */
final class JobWrites {
    /** Time in which ends of tasks are collected, so that a job is written once a second. */
    static final long BATCH_MILLIS = 1_000;

    /** Time after which the answer to a write is no longer expected. */
    static final long GIVE_UP_MILLIS = 15_000;

    /** Longest time between two writes of the same record that fail. */
    static final long MAX_BACKOFF_MILLIS = 16_000;

    /**
     * Writes per second of one entry: eight entries then stay within the several hundred writes per
     * second that the store takes, also when all of them write after an outage.
     */
    static final int MAX_WRITES_PER_SECOND = 40;

    /** Time after which ends for a job that the store does not hold are given up. */
    static final long UNKNOWN_JOB_MILLIS = 60_000;

    private static final int MAX_DOUBLINGS = 4;

    private JobWrites() {}

    /** Keeps the end of a task until the record shows it, and then acknowledges it. */
    static Transition addEnd(State state, JobId job, PendingEnd end) {
        JobTable table = state.jobs();
        Optional<JobRecord> record = table.record(job);
        if (record.isPresent() && Progress.covers(record.get(), end)) {
            return Transition.of(acknowledge(state, end));
        }
        JobWork work = workOf(state, job);
        Optional<JobRecord> view =
                table.view(job).map(r -> Progress.merge(r, end, maxAttempts(state)));
        return Transition.of(
                store(state, job, work.withEnds(work.ends().plus(end.task(), end)).withView(view)));
    }

    /** Has the record show that the job is cancelled. */
    static State cancel(State state, JobId job) {
        JobWork work = workOf(state, job).withCancel(true);
        return store(state, job, work.withView(view(state, job, work)));
    }

    /** Has the record show a change of parts; an empty edit withdraws one that was not written. */
    static State edit(State state, JobId job, Optional<PartEdit> edit) {
        JobWork work = workOf(state, job).withEdit(edit);
        return isDone(work)
                ? state.withJobs(state.jobs().withWork(job, Optional.empty()))
                : store(state, job, work.withView(view(state, job, work)));
    }

    private static JobWork workOf(State state, JobId job) {
        JobWork known = state.jobs().work().get(job);
        return known != null
                ? known
                : JobWork.since(state.nowMillis(), state.nowMillis() + BATCH_MILLIS);
    }

    /** Keeps {@code work}; a change that others wait for is written at once. */
    private static State store(State state, JobId job, JobWork work) {
        boolean urgent =
                work.cancel()
                        || work.edit().isPresent()
                        || work.view().map(v -> v.state().isFinal()).orElse(false);
        boolean now = urgent && !work.inFlight() && work.failures() == 0;
        JobWork timed = now ? work.dueAt(Math.min(work.dueMillis(), state.nowMillis())) : work;
        return state.withJobs(state.jobs().withWork(job, Optional.of(timed)));
    }

    private static Optional<JobRecord> view(State state, JobId job, JobWork work) {
        Optional<JobRecord> record = state.jobs().record(job);
        if (record.isEmpty()) {
            return record;
        }
        JobRecord merged = record.get();
        for (PendingEnd end : work.ends().values()) {
            merged = Progress.merge(merged, end, maxAttempts(state));
        }
        if (work.edit().isPresent()) {
            merged = work.edit().get().apply(merged);
        }
        return Optional.of(
                work.cancel() && !merged.state().isFinal()
                        ? merged.in(JobState.CANCELLED, "cancelled by a caller")
                        : merged);
    }

    private static boolean isDone(JobWork work) {
        return work.ends().isEmpty() && !work.cancel() && work.edit().isEmpty();
    }

    /** Drops what the newest record shows, and acknowledges it. */
    static Transition settle(State state, JobId job) {
        JobWork work = state.jobs().work().get(job);
        StoredJob stored = state.jobs().records().get(job);
        if (work == null || stored == null) {
            return Transition.of(state);
        }
        JobRecord record = stored.record();
        State result = state;
        PSortedMap<TaskId, PendingEnd> left = work.ends();
        for (PendingEnd end : work.ends().values()) {
            if (Progress.covers(record, end)) {
                left = left.minus(end.task());
                result = acknowledge(result, end);
            }
        }
        // A newer record ends the wait that a conflict caused.
        long soon = Math.min(work.dueMillis(), state.nowMillis() + BATCH_MILLIS);
        JobWork open = work.inFlight() ? work : work.answered(0, soon);
        JobWork rest =
                open.withEnds(left)
                        .withCancel(work.cancel() && !record.state().isFinal())
                        .withEdit(work.edit().filter(e -> !e.isSettled(stored)));
        return Transition.of(
                isDone(rest)
                        ? result.withJobs(result.jobs().withWork(job, Optional.empty()))
                        : store(result, job, rest.withView(view(result, job, rest))));
    }

    private static State acknowledge(State state, PendingEnd end) {
        return end.worker().map(w -> Workers.acknowledge(state, w, end.task())).orElse(state);
    }

    /** Notes that the newest write of {@code job} was confirmed. */
    static State confirmed(State state, JobId job) {
        JobWork work = state.jobs().work().get(job);
        return work == null || !work.inFlight()
                ? state
                : store(state, job, work.answered(0, state.nowMillis() + BATCH_MILLIS));
    }

    /** Notes that the newest write of {@code job} failed, and has it sent again later. */
    static Transition failed(State state, JobEvent.JobWriteFailed event) {
        JobWork work = state.jobs().work().get(event.job());
        if (work == null || !work.inFlight()) {
            return Transition.of(state);
        }
        return Transition.of(retry(state, event.job(), work));
    }

    private static State retry(State state, JobId job, JobWork work) {
        long backoff =
                Math.min(
                        MAX_BACKOFF_MILLIS,
                        BATCH_MILLIS << Math.min(work.failures(), MAX_DOUBLINGS));
        // Entries and jobs that failed together try again at different times.
        long spread =
                Math.floorMod(job.value().hashCode() * 31L + state.self().id().hashCode(), backoff);
        JobWork later = work.answered(work.failures() + 1, state.nowMillis() + backoff + spread);
        return state.withJobs(state.jobs().withWork(job, Optional.of(later)));
    }

    /** Sends the writes that are due, as many as the store should get in a second. */
    static Transition tick(State state) {
        Transition result = Transition.of(freshWindow(state));
        while (true) {
            DueWrites writes = result.state().jobs().writes();
            DueJob next = writes.due().isEmpty() ? null : writes.due().first();
            if (next == null
                    || next.atMillis() > state.nowMillis()
                    || writes.windowWrites() >= MAX_WRITES_PER_SECOND) {
                return result;
            }
            result = result.then(s -> due(s, next.job()));
        }
    }

    private static State freshWindow(State state) {
        JobTable table = state.jobs();
        boolean over = state.nowMillis() - table.writes().windowMillis() >= BATCH_MILLIS;
        return over
                ? state.withJobs(table.withWrites(table.writes().inWindow(state.nowMillis())))
                : state;
    }

    private static Transition due(State state, JobId job) {
        JobTable table = state.jobs();
        JobWork work = table.work().get(job);
        if (work.inFlight()) {
            return Transition.of(retry(state, job, work));
        }
        StoredJob stored = table.records().get(job);
        if (stored == null) {
            return Transition.of(waitForRecord(state, job, work));
        }
        JobWork sent = work.sent(state.nowMillis() + GIVE_UP_MILLIS);
        DueWrites counted = table.writes().with(job, Optional.of(sent)).counted();
        return Transition.of(state.withJobs(table.withWrites(counted)))
                .with(new StoreEffect.WriteJob(stored.revision(), work.view().orElseThrow()));
    }

    /**
     * Waits for a record that the watch has not brought yet. The ends of a job whose record the
     * store has not held for a minute belong to a job that was removed.
     */
    private static State waitForRecord(State state, JobId job, JobWork work) {
        boolean gone =
                state.nowMillis() - work.sinceMillis() >= UNKNOWN_JOB_MILLIS
                        && ConfigurationFreshness.isStoreContactFresh(state);
        return gone
                ? forget(state, job)
                : state.withJobs(
                        state.jobs()
                                .withWork(
                                        job,
                                        Optional.of(work.dueAt(state.nowMillis() + BATCH_MILLIS))));
    }

    /** Acknowledges all ends of a job that is gone. */
    static State forget(State state, JobId job) {
        JobWork work = state.jobs().work().get(job);
        if (work == null) {
            return state;
        }
        State result = state.withJobs(state.jobs().withWork(job, Optional.empty()));
        for (PendingEnd end : work.ends().values()) {
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
        for (JobCaller caller : state.jobs().callersOf(job)) {
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
