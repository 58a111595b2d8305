package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.workflow.WorkflowEffect.Answer;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Handles the requests of callers. An answer is sent only when the state of the job that it reports
 * is durable in the store.
 */
final class CallHandler {
    /**
     * Maximum age of the store's confirmation of this leader at which an unknown job is reported as
     * nonexistent. If the confirmation is older, a newer leader may have accepted the job.
     */
    private static final long MAX_ABSENCE_CONFIRMATION_AGE_MILLIS = 1_500;

    /** Retry-after time of an entry that is not the confirmed leader. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallHandler() {}

    static WorkflowTransition callArrived(WorkflowState state, WorkflowEvent.CallArrived event) {
        if (!state.hasConfirmedLeadership()) {
            return WorkflowTransition.of(state)
                    .with(new Answer(event.requestId(), new Reply.NotLeading()));
        }
        return switch (event.call()) {
            case Call.Submit submit -> submit(state, event.requestId(), submit);
            case Call.Query query ->
                    reply(state, event.requestId(), statusOf(state, query.queue(), query.job()));
            case Call.Cancel cancel -> cancel(state, event.requestId(), cancel);
            case Call.Count count ->
                    reply(
                            state,
                            event.requestId(),
                            new Reply.WaitingJobs(countWaiting(state, count.queue())));
        };
    }

    private static WorkflowTransition reply(WorkflowState state, long requestId, Reply reply) {
        return WorkflowTransition.of(state).with(new Answer(requestId, reply));
    }

    private static WorkflowTransition submit(
            WorkflowState state, long requestId, Call.Submit submit) {
        Job existing = state.jobs().get(submit.job());
        if (existing != null && !existing.stored()) {
            return WorkflowTransition.of(
                    state.with(state.commitQueue().withPendingAnswer(requestId, submit.job())));
        }
        if (existing != null || state.finished().containsKey(submit.job())) {
            return reply(state, requestId, new Reply.Done());
        }
        if (state.leadership().resigning()) {
            return reply(state, requestId, new Reply.NotLeading());
        }
        TeamTokenBuckets.Acquisition acquisition =
                state.teamBuckets().tryAcquire(submit.team(), weight(state, submit), state.now());
        JobAdmission.Decision decision =
                JobAdmission.decide(state, submit, acquisition.withinShare());
        if (decision instanceof JobAdmission.Decision.Reject reject) {
            return rejected(state, requestId, submit.job(), submit.queue(), submit.team(), reject);
        }
        return accepted(
                state.with(acquisition.updated()), requestId, submit, acquisition.withinShare());
    }

    private static double weight(WorkflowState state, Call.Submit submit) {
        return state.configuration()
                .flatMap(c -> c.team(submit.team()))
                .map(CellConfiguration.Team::weight)
                .orElse(0.0);
    }

    private static WorkflowTransition rejected(
            WorkflowState state,
            long requestId,
            String job,
            String queue,
            String team,
            JobAdmission.Decision.Reject reject) {
        return reply(
                        state,
                        requestId,
                        new Reply.Rejected(reject.retryAfterMillis(), reject.overloaded()))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "job-refused",
                                job,
                                "queue",
                                queue,
                                "team",
                                team,
                                "reason",
                                reject.reason(),
                                "retry_after_ms",
                                reject.retryAfterMillis(),
                                "order_value_ms",
                                reject.orderValueMillis().map(Object::toString).orElse("none")));
    }

    private static WorkflowTransition accepted(
            WorkflowState state, long requestId, Call.Submit submit, boolean withinShare) {
        Job job =
                Job.submitted(
                        submit.job(),
                        submit.queue(),
                        submit.team(),
                        submit.definition(),
                        new Job.Acceptance(
                                state.term(), state.now(), state.wallMillis(), withinShare));
        CommitQueue queue =
                state.commitQueue().markDirty(job.id()).withPendingAnswer(requestId, job.id());
        return WorkflowTransition.of(
                state.with(Schedules.withDueOccurrences(job, state.wallMillis()))
                        .with(backlogsWithClaim(state, submit))
                        .with(queue)
                        .withPlacementDue(true));
    }

    /** Returns the backlogs in which {@code submit} claims the capacity for its first steps. */
    private static ServiceBacklogs backlogsWithClaim(WorkflowState state, Call.Submit submit) {
        return state.configuration()
                .flatMap(c -> c.queue(submit.queue()))
                .map(
                        q ->
                                state.backlogs()
                                        .withClaim(
                                                q.service(),
                                                submit.definition().initialMillicores()))
                .orElse(state.backlogs());
    }

    /**
     * Rejects, while the store is unreachable, the submitted jobs that are not part of the commit
     * in flight, so that their callers don't wait for the store.
     */
    static WorkflowTransition rejectUnsent(WorkflowState state) {
        CommitQueue queue = state.commitQueue();
        if (!queue.isStalled(state.now()) || queue.pendingAnswers().isEmpty()) {
            return WorkflowTransition.of(state);
        }
        PSet<String> unsentJobs = HashTreePSet.empty();
        for (CommitQueue.PendingAnswer answer : queue.pendingAnswers()) {
            Job job = state.jobs().get(answer.job());
            boolean isInFlight = queue.isInFlight(answer.job());
            if (job != null && job.isActive() && !job.stored() && !isInFlight) {
                unsentJobs = unsentJobs.plus(answer.job());
            }
        }
        WorkflowTransition result =
                WorkflowTransition.of(
                        state.withJobs(state.jobs().minusAll(unsentJobs))
                                .with(queue.withoutJobs(unsentJobs)));
        for (CommitQueue.PendingAnswer answer : queue.pendingAnswers()) {
            if (unsentJobs.contains(answer.job())) {
                Job job = state.jobs().get(answer.job());
                result =
                        result.then(
                                s ->
                                        rejected(
                                                s,
                                                answer.requestId(),
                                                job.id(),
                                                job.queue(),
                                                job.team(),
                                                JobAdmission.rejectStoreUnreachable(
                                                        s, job.queue(), job.id())));
            }
        }
        return result;
    }

    private static Reply statusOf(WorkflowState state, String queue, String id) {
        Job job = state.jobs().get(id);
        if (job != null && job.queue().equals(queue) && job.stored()) {
            // The final status of a job is reported only after it is stored, when the job has
            // become a finished job. Until then the job is reported as active.
            return new Reply.JobStatus(Job.Status.ACTIVE, job.hasStarted());
        }
        FinishedJob finished = state.finished().get(id);
        if (job == null && finished != null && finished.queue().equals(queue)) {
            return new Reply.JobStatus(finished.status(), true);
        }
        boolean recentlyConfirmed =
                state.now() - state.leadership().confirmedAt()
                        < MAX_ABSENCE_CONFIRMATION_AGE_MILLIS;
        return recentlyConfirmed ? new Reply.NoSuchJob() : new Reply.NotLeading();
    }

    private static WorkflowTransition cancel(
            WorkflowState state, long requestId, Call.Cancel cancel) {
        Job job = state.jobs().get(cancel.job());
        boolean found = job != null && job.queue().equals(cancel.queue());
        if (!found) {
            Reply status = statusOf(state, cancel.queue(), cancel.job());
            return reply(
                    state,
                    requestId,
                    status instanceof Reply.JobStatus ? new Reply.Done() : status);
        }
        if (!job.isActive()) {
            return WorkflowTransition.of(
                    state.with(
                            state.commitQueue()
                                    .markDirty(job.id())
                                    .withPendingAnswer(requestId, job.id())));
        }
        WorkflowState next =
                state.with(job.withStatus(Job.Status.CANCELLED))
                        .with(
                                state.commitQueue()
                                        .markDirty(job.id())
                                        .withPendingAnswer(requestId, job.id()));
        return stopAll(next, job.id())
                .with(WorkflowEffect.LogEvent.of("job-cancelled", job.id(), "queue", job.queue()));
    }

    /**
     * Stops all runs of {@code job} and releases capacity that is allocated to tasks that have not
     * been started.
     */
    static WorkflowTransition stopAll(WorkflowState state, String job) {
        WorkflowTransition result = WorkflowTransition.of(state.withPlacementDue(true));
        for (WorkerNode worker : state.workers().values()) {
            for (Map.Entry<TaskKey, WorkerNode.Charge> taskAndCharge :
                    worker.charges().entrySet()) {
                if (taskAndCharge.getKey().job().equals(job)) {
                    TaskKey task = taskAndCharge.getKey();
                    result = result.then(s -> WorkerCommands.stop(s, worker.id(), task));
                }
            }
        }
        return result;
    }

    private static int countWaiting(WorkflowState state, String queue) {
        List<Job> waitingJobs = new ArrayList<>();
        for (Job job : state.jobs().values()) {
            if (job.queue().equals(queue) && job.stored() && job.isActive() && !job.hasStarted()) {
                waitingJobs.add(job);
            }
        }
        return waitingJobs.size();
    }
}
