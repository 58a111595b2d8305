package org.jujubefork.core.jobs;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.requests.AccessControl;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Handles submissions and cancellations of jobs by callers. */
final class Submissions {
    /** Maximum time for which a caller waits until its job is written to the store. */
    static final long SUBMIT_TIMEOUT_MILLIS = 10_000;

    /**
     * Maximum time for which a caller waits for a cancellation. It is longer than for a submission,
     * since many cancellations at once are spread over time by the write rate limit.
     */
    static final long CANCEL_TIMEOUT_MILLIS = 30_000;

    /** Delay before the first write of a job is retried if its outcome is unknown. */
    static final long RETRY_DELAY_MILLIS = 1_000;

    /** Maximum number of tasks of a job; keeps its record below the store's 1 MB per value. */
    static final int MAX_TASKS = 20_000;

    /** Maximum length of a job's payload; keeps its record below the store's 1 MB per value. */
    static final int MAX_PAYLOAD_CHARS = 256 * 1024;

    private Submissions() {}

    static Transition submitted(State state, JobEvent.JobSubmitted event) {
        String queueName = event.spec().queue().value();
        Optional<Queue> queue = state.configuration().flatMap(c -> c.queue(event.spec().queue()));
        RefusalReason access = checkAccess(state, queue, event.keyHash());
        if (access != RefusalReason.NONE) {
            return refuse(state, event.request(), Optional.empty(), queueName, access);
        }
        WaitingCaller caller =
                new WaitingCaller(
                        state.nowMillis() + SUBMIT_TIMEOUT_MILLIS,
                        event.request(),
                        event.job(),
                        false);
        TeamId team = queue.orElseThrow().team();
        if (state.jobs().records().containsKey(event.job())) {
            return Transition.of(state)
                    .with(new RequestEffect.AcceptJob(event.request(), event.job()));
        }
        if (state.jobs().submissions().containsKey(event.job())) {
            return Transition.of(state.withJobs(state.jobs().withCaller(caller)));
        }
        RefusalReason reason = checkSpec(state, queue.get(), event.spec());
        Resources size = event.spec().size().orElse(queue.get().size());
        PVector<JobPart> parts =
                reason == RefusalReason.NONE
                        ? JobPartitioner.partition(
                                state, queue.get().kind(), event.spec().tasks(), size)
                        : TreePVector.empty();
        if (reason == RefusalReason.NONE && parts.isEmpty()) {
            reason = RefusalReason.NO_SHARD;
        }
        if (reason != RefusalReason.NONE) {
            return refuse(state, event.request(), Optional.of(team), queueName, reason);
        }
        JobRecord record = firstRecord(event, queue.get(), size, parts);
        return writeFirstRecord(state.withJobs(state.jobs().withCaller(caller)), record, false);
    }

    private static JobRecord firstRecord(
            JobEvent.JobSubmitted event, Queue queue, Resources size, PVector<JobPart> parts) {
        JobSpec spec = event.spec();
        return JobRecord.submitted(
                new JobDefinition(
                        event.job(),
                        queue.team(),
                        queue.id(),
                        queue.kind(),
                        spec.name(),
                        spec.tasks(),
                        size,
                        spec.payload(),
                        event.submittedAtEpochMillis()),
                parts);
    }

    private static Transition writeFirstRecord(
            State state, JobRecord record, boolean maybeWritten) {
        Submission sent = new Submission(record, Submission.IN_FLIGHT, maybeWritten);
        JobTable table = state.jobs();
        return Transition.of(
                        state.withJobs(
                                table.withSubmissions(table.submissions().plus(record.id(), sent))))
                .with(new StoreEffect.WriteJob(0, record));
    }

    private static RefusalReason checkAccess(
            State state, Optional<Queue> queue, Optional<String> keyHash) {
        if (state.draining()) {
            return RefusalReason.DRAINING;
        }
        if (state.configuration().isEmpty()) {
            return RefusalReason.NO_CONFIGURATION;
        }
        return queue.map(q -> AccessControl.checkKey(state, q, keyHash))
                .orElse(RefusalReason.QUEUE_UNKNOWN);
    }

    /** Returns why a new job is rejected, or {@link RefusalReason#NONE}. */
    private static RefusalReason checkSpec(State state, Queue queue, JobSpec spec) {
        Configuration configuration = state.configuration().orElseThrow();
        Resources size = spec.size().orElse(queue.size());
        if (queue.kind().isRequest()) {
            return RefusalReason.WRONG_KIND;
        }
        if (size.isNegative() || size.isZero()) {
            return RefusalReason.SIZE_INVALID;
        }
        if (spec.tasks() > MAX_TASKS || spec.payload().length() > MAX_PAYLOAD_CHARS) {
            return RefusalReason.JOB_TOO_LARGE;
        }
        boolean isGang = queue.kind() == WorkKind.GANG;
        Resources simultaneousSize = isGang ? size.times(spec.tasks()) : size;
        Optional<Team> team = configuration.team(queue.team());
        if (team.isEmpty() || !simultaneousSize.fitsIn(team.get().limit())) {
            return RefusalReason.ABOVE_LIMIT;
        }
        if (state.fleet().workers().isEmpty()) {
            return RefusalReason.NO_SHARD;
        }
        List<ShardCapacities.Capacity> capacities = ShardCapacities.of(state, size);
        if (capacities.stream().allMatch(c -> c.tasksFittingEmpty() == 0)) {
            return RefusalReason.NEVER_FITS;
        }
        if (isGang && capacities.stream().allMatch(c -> c.tasksFittingEmpty() < spec.tasks())) {
            return RefusalReason.GANG_NEVER_FITS;
        }
        return ConfigurationFreshness.isStoreContactFresh(state)
                ? RefusalReason.NONE
                : RefusalReason.STORE_UNAVAILABLE;
    }

    private static Transition refuse(
            State state,
            RequestId request,
            Optional<TeamId> team,
            String subject,
            RefusalReason reason) {
        AttemptResult result =
                switch (reason) {
                    case DRAINING,
                            NO_CONFIGURATION,
                            CONFIGURATION_NOT_FRESH,
                            NO_SHARD,
                            STORE_UNAVAILABLE ->
                            AttemptResult.notRun(reason, RETRY_DELAY_MILLIS);
                    default -> AttemptResult.notRun(reason);
                };
        return answer(state, request, team, subject, result);
    }

    private static Transition answer(
            State state,
            RequestId request,
            Optional<TeamId> team,
            String subject,
            AttemptResult result) {
        return Transition.of(state)
                .with(new RequestEffect.Refuse(request, result))
                .with(
                        new LogDecision(
                                DecisionKind.REFUSED,
                                request.value(),
                                team,
                                subject,
                                result.outcome() + "/" + result.reason().code(),
                                0,
                                0));
    }

    /** Handles the failure of the first write of a job. */
    static Transition writeFailed(State state, JobEvent.JobWriteFailed event) {
        JobTable table = state.jobs();
        Submission submission = table.submissions().get(event.job());
        if (submission == null || submission.retryAtMillis() != Submission.IN_FLIGHT) {
            return Transition.of(state);
        }
        if (event.conflict()) {
            // A record with this key exists, so this or an earlier submission was written.
            return Transition.of(withoutSubmission(state, event.job()))
                    .then(s -> answerSubmitters(s, event.job(), Optional.empty()));
        }
        if (!event.maybeWritten() && !submission.maybeWritten()) {
            AttemptResult result =
                    AttemptResult.notRun(RefusalReason.STORE_UNAVAILABLE, RETRY_DELAY_MILLIS);
            return Transition.of(withoutSubmission(state, event.job()))
                    .then(s -> answerSubmitters(s, event.job(), Optional.of(result)));
        }
        Submission retrying =
                new Submission(submission.record(), state.nowMillis() + RETRY_DELAY_MILLIS, true);
        return Transition.of(
                state.withJobs(
                        table.withSubmissions(table.submissions().plus(event.job(), retrying))));
    }

    static State withoutSubmission(State state, JobId job) {
        JobTable table = state.jobs();
        return table.submissions().containsKey(job)
                ? state.withJobs(table.withSubmissions(table.submissions().minus(job)))
                : state;
    }

    /**
     * Answers all submitters of {@code job}: with {@code refusal}, or with acceptance if it is
     * empty.
     */
    private static Transition answerSubmitters(
            State state, JobId job, Optional<AttemptResult> refusal) {
        Transition result = Transition.of(state);
        for (WaitingCaller caller : state.jobs().callersOf(job)) {
            if (caller.cancel()) {
                continue;
            }
            result =
                    result.withState(
                            result.state().withJobs(result.state().jobs().withoutCaller(caller)));
            result =
                    refusal.isEmpty()
                            ? result.with(new RequestEffect.AcceptJob(caller.request(), job))
                            : result.then(
                                    s ->
                                            answer(
                                                    s,
                                                    caller.request(),
                                                    Optional.empty(),
                                                    job.value(),
                                                    refusal.get()));
        }
        return result;
    }

    static Transition cancelRequested(State state, JobEvent.JobCancelRequested event) {
        Optional<JobRecord> record = state.jobs().record(event.job());
        String subject = event.job().value();
        if (record.isEmpty()) {
            return refuse(
                    state, event.request(), Optional.empty(), subject, RefusalReason.JOB_UNKNOWN);
        }
        TeamId team = record.get().team();
        RefusalReason access =
                checkAccess(state, Optional.of(queueOf(state, record.get())), event.keyHash());
        if (access != RefusalReason.NONE) {
            return refuse(state, event.request(), Optional.of(team), subject, access);
        }
        if (record.get().state().isFinal()) {
            return Transition.of(state)
                    .with(new RequestEffect.AcceptJob(event.request(), event.job()));
        }
        if (!ConfigurationFreshness.isStoreContactFresh(state)) {
            return refuse(
                    state,
                    event.request(),
                    Optional.of(team),
                    subject,
                    RefusalReason.STORE_UNAVAILABLE);
        }
        WaitingCaller caller =
                new WaitingCaller(
                        state.nowMillis() + CANCEL_TIMEOUT_MILLIS,
                        event.request(),
                        event.job(),
                        true);
        return Transition.of(
                JobRecordWriter.cancel(
                        state.withJobs(state.jobs().withCaller(caller)), event.job()));
    }

    /**
     * Returns the queue of a job. If the queue was removed or now belongs to another team, returns
     * a substitute queue that is accessible only with keys of the job's team.
     */
    private static Queue queueOf(State state, JobRecord record) {
        return state.configuration()
                .flatMap(c -> c.queue(record.queue()))
                .filter(q -> q.team().equals(record.team()))
                .orElse(
                        new Queue(
                                record.queue(),
                                record.team(),
                                false,
                                record.kind(),
                                record.size(),
                                false,
                                1,
                                1));
    }

    /** Retries first writes whose outcome is unknown, and answers callers whose wait timed out. */
    static Transition tick(State state) {
        Transition result = Transition.of(state);
        for (Submission submission : state.jobs().submissions().values()) {
            if (submission.retryAtMillis() <= state.nowMillis()) {
                result = result.then(s -> writeFirstRecord(s, submission.record(), true));
            }
        }
        while (true) {
            JobTable table = result.state().jobs();
            if (table.waitingCallers().byDeadline().isEmpty()
                    || table.waitingCallers().byDeadline().first().deadlineMillis()
                            > state.nowMillis()) {
                return result;
            }
            WaitingCaller expired = table.waitingCallers().byDeadline().first();
            result = result.then(s -> callerTimedOut(s, expired));
        }
    }

    private static Transition callerTimedOut(State state, WaitingCaller caller) {
        State removed = state.withJobs(state.jobs().withoutCaller(caller));
        State updated =
                removed.jobs().callersOf(caller.job()).isEmpty()
                        ? withoutSubmission(removed, caller.job())
                        : removed;
        return answer(
                updated,
                caller.request(),
                Optional.empty(),
                caller.job().value(),
                AttemptResult.unknown(RefusalReason.STORE_UNAVAILABLE));
    }
}
