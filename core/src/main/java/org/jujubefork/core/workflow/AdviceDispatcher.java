package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;
import org.jujubefork.core.workflow.StepProgress.Ticket;

/** Asks which workers may run a step, and renews tickets. */
final class AdviceDispatcher {
    /** The most workers in one call; the service takes no more. */
    private static final int MOST_WORKERS = 100;

    /** Calls that reserve room go first, then urgent queues. */
    private static final Comparator<AdviceRequest> ORDER =
            Comparator.comparing((AdviceRequest q) -> !q.renewal())
                    .thenComparing(AdviceRequest::rank)
                    .thenComparing(AdviceRequest::priority);

    private AdviceDispatcher() {}

    /** Queues a call about the workers that could run a step. */
    static WorkflowState ask(
            WorkflowState state, Placement.Candidate candidate, List<String> workers) {
        return queue(state, candidate.key(), workers, candidate.rank(), false);
    }

    /** Queues a call for new tickets of {@code workers}, whose room is reserved meanwhile. */
    static WorkflowState renew(WorkflowState state, StepKey key, List<String> workers) {
        return queue(state, key, workers, Urgency.Rank.IN_TIME, true);
    }

    private static WorkflowState queue(
            WorkflowState state,
            StepKey key,
            List<String> workers,
            Urgency.Rank rank,
            boolean renewal) {
        Job job = state.jobs().get(key.job());
        Optional<CellConfiguration.Queue> queue = state.queueOf(job);
        if (queue.isEmpty() || queue.get().advice().isEmpty() || workers.isEmpty()) {
            return state;
        }
        List<String> named =
                workers.size() > MOST_WORKERS ? workers.subList(0, MOST_WORKERS) : workers;
        StepProgress run = job.run(key);
        AdviceRequest question =
                new AdviceRequest(
                        key,
                        named,
                        rank,
                        queue.get().priority(),
                        renewal,
                        Math.round(queue.get().advice().get().costMillis(named.size())));
        return state.with(job.with(key, run.withAdvice(run.advice().asking())))
                .with(state.desk().plus(question));
    }

    /** Hands waiting calls to entries that can ask. */
    static WorkflowTransition dispatch(WorkflowState state) {
        if (state.desk().queue().isEmpty() || !state.mayOrder()) {
            return WorkflowTransition.of(state);
        }
        AdvisorLoads loads = AdvisorLoads.of(state.desk());
        WorkflowTransition result = WorkflowTransition.of(state);
        for (AdviceRequest question : state.desk().queue().stream().sorted(ORDER).toList()) {
            if (loads.isFull()) {
                return result;
            }
            AdviceRequests desk = result.state().desk();
            Optional<String> advisor = loads.take(question);
            if (advisor.isPresent() && !desk.open().containsKey(question.step())) {
                result =
                        result.withState(result.state().with(desk.started(question, advisor.get())))
                                .with(
                                        new WorkflowEffect.Advise(
                                                advisor.get(),
                                                question.step(),
                                                question.workers(),
                                                question.costMillis(),
                                                state.fence()));
            }
        }
        return result;
    }

    static WorkflowTransition ended(WorkflowState state, WorkflowEvent.AdviceCompleted event) {
        InFlightRequest call = state.desk().open().get(event.step());
        if (call == null || !call.advisor().equals(event.advisor())) {
            return WorkflowTransition.of(state);
        }
        WorkflowState next = state.with(state.desk().ended(event.step())).withPlacementDue(true);
        Job job = next.jobs().get(event.step().job());
        if (job == null) {
            return dispatch(next);
        }
        return answered(next, job, event, call).then(AdviceDispatcher::dispatch);
    }

    private static WorkflowTransition answered(
            WorkflowState next,
            Job job,
            WorkflowEvent.AdviceCompleted event,
            InFlightRequest call) {
        StepProgress run = job.run(event.step());
        if (event.tickets().isEmpty()) {
            StepProgress unanswered = run.withAdvice(run.advice().unanswered());
            return Placement.unassign(next.with(job.with(event.step(), unanswered)), event.step())
                    .with(
                            WorkflowEffect.LogEvent.of(
                                    "advice-failed",
                                    event.step(),
                                    "advisor",
                                    event.advisor(),
                                    "workers",
                                    call.question().workers().size()));
        }
        long valid =
                next.queueOf(job).flatMap(q -> q.advice()).map(a -> a.validMillis()).orElse(0L);
        long until = next.now() + valid - WorkflowLimits.TICKET_MARGIN_MILLIS;
        Map<String, Ticket> tickets = new HashMap<>();
        event.tickets().get().forEach((w, t) -> tickets.put(w, new Ticket(t, until)));
        StepProgress advised =
                run.withAdvice(run.advice().answered(call.question().workers(), tickets));
        return Placement.startAssigned(next.with(job.with(event.step(), advised)), event.step());
    }

    /** Has the ticket of {@code worker} renewed before its next use. */
    static WorkflowState withoutTicket(WorkflowState state, StepKey key, String worker) {
        Job job = state.jobs().get(key.job());
        if (job == null) {
            return state;
        }
        StepProgress run = job.run(key);
        return state.with(job.with(key, run.withAdvice(run.advice().expired(worker))));
    }
}
