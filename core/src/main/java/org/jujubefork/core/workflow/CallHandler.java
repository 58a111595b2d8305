package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.workflow.WorkflowEffect.Answer;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/** Answers the calls of callers. What an answer says of a job is in the store before it is sent. */
final class CallHandler {
    /**
     * Greatest age of the store's confirmation with which a job counts as unknown: a newer leader
     * may have accepted it.
     */
    private static final long ABSENCE_MILLIS = 1_500;

    /** When a caller comes back that met an entry without authority. */
    private static final long RETRY_MILLIS = 1_000;

    private CallHandler() {}

    static WorkflowTransition arrived(WorkflowState state, WorkflowEvent.CallArrived event) {
        if (!state.mayOrder()) {
            return WorkflowTransition.of(state)
                    .with(new Answer(event.request(), new Reply.NotLeading()));
        }
        return switch (event.call()) {
            case Call.Submit submit -> submit(state, event.request(), submit);
            case Call.Query query ->
                    reply(state, event.request(), stateOf(state, query.queue(), query.job()));
            case Call.Cancel cancel -> cancel(state, event.request(), cancel);
            case Call.Count count ->
                    reply(
                            state,
                            event.request(),
                            new Reply.WaitingJobs(waiting(state, count.queue())));
        };
    }

    private static WorkflowTransition reply(WorkflowState state, long request, Reply reply) {
        return WorkflowTransition.of(state).with(new Answer(request, reply));
    }

    private static WorkflowTransition submit(
            WorkflowState state, long request, Call.Submit submit) {
        Job known = state.jobs().get(submit.job());
        if (known != null && !known.stored()) {
            return WorkflowTransition.of(
                    state.with(state.commits().answering(request, submit.job())));
        }
        if (known != null || state.finished().containsKey(submit.job())) {
            return reply(state, request, new Reply.Done());
        }
        if (state.leadership().resigned()) {
            return reply(state, request, new Reply.NotLeading());
        }
        TeamTokenBuckets.Acquisition taken =
                state.shares().take(submit.team(), weight(state, submit), state.now());
        JobAdmission.Decision verdict = JobAdmission.judge(state, submit, taken.within());
        if (verdict instanceof JobAdmission.Decision.Reject refuse) {
            return refused(state, request, submit.job(), submit.queue(), submit.team(), refuse);
        }
        return accepted(state.with(taken.shares()), request, submit, taken.within());
    }

    private static double weight(WorkflowState state, Call.Submit submit) {
        return state.configuration()
                .flatMap(c -> c.team(submit.team()))
                .map(CellConfiguration.Team::weight)
                .orElse(0.0);
    }

    private static WorkflowTransition refused(
            WorkflowState state,
            long request,
            String job,
            String queue,
            String team,
            JobAdmission.Decision.Reject refuse) {
        return reply(
                        state,
                        request,
                        new Reply.Rejected(refuse.retryAfterMillis(), refuse.overloaded()))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "job-refused",
                                job,
                                "queue",
                                queue,
                                "team",
                                team,
                                "reason",
                                refuse.reason(),
                                "retry_after_ms",
                                refuse.retryAfterMillis()));
    }

    private static WorkflowTransition accepted(
            WorkflowState state, long request, Call.Submit submit, boolean withinShare) {
        Job job =
                Job.submitted(
                        submit.job(),
                        submit.queue(),
                        submit.team(),
                        submit.definition(),
                        new Job.Acceptance(
                                state.term(), state.now(), state.wallMillis(), withinShare));
        CommitQueue commits = state.commits().dirty(job.id()).answering(request, job.id());
        return WorkflowTransition.of(
                state.with(Schedules.withDue(job, state.wallMillis()))
                        .with(commits)
                        .withPlacementDue(true));
    }

    /** Refuses what no write has been sent for while the store is away, rather than hold it. */
    static WorkflowTransition refuseUnsent(WorkflowState state) {
        CommitQueue commits = state.commits();
        if (!commits.isStalled(state.now()) || commits.answers().isEmpty()) {
            return WorkflowTransition.of(state);
        }
        PSet<String> unsent = HashTreePSet.empty();
        for (CommitQueue.PendingAnswer answer : commits.answers()) {
            Job job = state.jobs().get(answer.job());
            boolean sent = commits.inFlight().orElseThrow().jobs().contains(answer.job());
            if (job != null && job.isActive() && !job.stored() && !sent) {
                unsent = unsent.plus(answer.job());
            }
        }
        WorkflowTransition result =
                WorkflowTransition.of(
                        state.withJobs(state.jobs().minusAll(unsent))
                                .with(commits.without(unsent)));
        for (CommitQueue.PendingAnswer answer : commits.answers()) {
            if (unsent.contains(answer.job())) {
                Job job = state.jobs().get(answer.job());
                result =
                        result.then(
                                s ->
                                        refused(
                                                s,
                                                answer.request(),
                                                job.id(),
                                                job.queue(),
                                                job.team(),
                                                JobAdmission.storeSilent()));
            }
        }
        return result;
    }

    private static Reply stateOf(WorkflowState state, String queue, String id) {
        Job job = state.jobs().get(id);
        if (job != null && job.queue().equals(queue) && job.stored()) {
            // An end is told once it is stored; the job is then among those that have ended.
            return new Reply.JobStatus(Job.Status.ACTIVE, job.hasBegun());
        }
        FinishedJob ended = state.finished().get(id);
        if (job == null && ended != null && ended.queue().equals(queue)) {
            return new Reply.JobStatus(ended.status(), true);
        }
        boolean sure = state.now() - state.leadership().confirmedAt() < ABSENCE_MILLIS;
        return sure ? new Reply.NoSuchJob() : new Reply.NotLeading();
    }

    private static WorkflowTransition cancel(
            WorkflowState state, long request, Call.Cancel cancel) {
        Job job = state.jobs().get(cancel.job());
        boolean here = job != null && job.queue().equals(cancel.queue());
        if (!here) {
            Reply known = stateOf(state, cancel.queue(), cancel.job());
            return reply(
                    state, request, known instanceof Reply.JobStatus ? new Reply.Done() : known);
        }
        if (!job.isActive()) {
            return WorkflowTransition.of(
                    state.with(state.commits().dirty(job.id()).answering(request, job.id())));
        }
        WorkflowState next =
                state.with(job.withStatus(Job.Status.CANCELLED))
                        .with(state.commits().dirty(job.id()).answering(request, job.id()));
        return stopAll(next, job.id())
                .with(WorkflowEffect.LogEvent.of("job-cancelled", job.id(), "queue", job.queue()));
    }

    /** Stops everything of {@code job}. */
    static WorkflowTransition stopAll(WorkflowState state, String job) {
        WorkflowTransition result = WorkflowTransition.of(state.withPlacementDue(true));
        for (WorkerNode worker : state.workers().values()) {
            for (Map.Entry<TaskKey, WorkerNode.Charge> entry : worker.charges().entrySet()) {
                if (entry.getKey().job().equals(job)) {
                    TaskKey task = entry.getKey();
                    result = result.then(s -> WorkerCommands.stop(s, worker.id(), task));
                }
            }
        }
        return result;
    }

    private static int waiting(WorkflowState state, String queue) {
        List<Job> waiting = new ArrayList<>();
        for (Job job : state.jobs().values()) {
            if (job.queue().equals(queue) && job.stored() && job.isActive() && !job.hasBegun()) {
                waiting.add(job);
            }
        }
        return waiting.size();
    }
}
