package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;
import org.jujubefork.core.workflow.StepProgress.Ticket;

/** Asks the advice service which workers may run a step, and renews tickets. */
final class AdviceDispatcher {
    /** Maximum number of workers in one request that the service accepts. */
    private static final int MAX_WORKERS_PER_REQUEST = 100;

    /**
     * Renewals go first, because capacity is already allocated for them; then requests of more
     * urgent steps, then of more urgent queues.
     */
    private static final Comparator<AdviceRequest> DISPATCH_ORDER =
            Comparator.comparing((AdviceRequest request) -> !request.isRenewal())
                    .thenComparing(AdviceRequest::rank)
                    .thenComparing(AdviceRequest::priority);

    private AdviceDispatcher() {}

    /** Queues a request for tickets for the workers that could run a step. */
    static WorkflowState requestAdvice(
            WorkflowState state, Placement.Candidate candidate, List<String> workers) {
        return enqueue(state, candidate.key(), workers, candidate.rank(), false);
    }

    /**
     * Queues a request for new tickets for {@code workers}, on which capacity is already allocated.
     */
    static WorkflowState renewTickets(WorkflowState state, StepKey key, List<String> workers) {
        return enqueue(state, key, workers, Urgency.Rank.ON_TIME, true);
    }

    private static WorkflowState enqueue(
            WorkflowState state,
            StepKey key,
            List<String> workers,
            Urgency.Rank rank,
            boolean isRenewal) {
        Job job = state.jobs().get(key.job());
        Optional<CellConfiguration.Queue> queue = state.queueOf(job);
        if (queue.isEmpty() || queue.get().advice().isEmpty() || workers.isEmpty()) {
            return state;
        }
        List<String> candidates =
                workers.size() > MAX_WORKERS_PER_REQUEST
                        ? workers.subList(0, MAX_WORKERS_PER_REQUEST)
                        : workers;
        StepProgress progress = job.progress(key);
        AdviceRequest request =
                new AdviceRequest(
                        key,
                        candidates,
                        rank,
                        queue.get().priority(),
                        isRenewal,
                        Math.round(queue.get().advice().get().costMillis(candidates.size())));
        return state.with(
                        job.with(key, progress.withAdvice(progress.advice().withPendingRequest())))
                .with(state.adviceRequests().withPending(request));
    }

    /** Sends pending requests through the entries that have capacity for them. */
    static WorkflowTransition dispatch(WorkflowState state) {
        if (state.adviceRequests().pending().isEmpty() || !state.hasConfirmedLeadership()) {
            return WorkflowTransition.of(state);
        }
        AdvisorLoads loads = AdvisorLoads.of(state.adviceRequests());
        WorkflowTransition result = WorkflowTransition.of(state);
        for (AdviceRequest request :
                state.adviceRequests().pending().stream().sorted(DISPATCH_ORDER).toList()) {
            if (loads.isFull()) {
                return result;
            }
            AdviceRequests requests = result.state().adviceRequests();
            Optional<String> advisor = loads.assign(request);
            if (advisor.isPresent() && !requests.inFlight().containsKey(request.step())) {
                result =
                        result.withState(
                                        result.state()
                                                .with(
                                                        requests.withInFlight(
                                                                request, advisor.get())))
                                .with(
                                        new WorkflowEffect.RequestAdvice(
                                                advisor.get(),
                                                request.step(),
                                                request.workers(),
                                                request.costMillis(),
                                                state.fence()));
            }
        }
        return result;
    }

    static WorkflowTransition completed(WorkflowState state, WorkflowEvent.AdviceCompleted event) {
        InFlightRequest inFlight = state.adviceRequests().inFlight().get(event.step());
        if (inFlight == null || !inFlight.advisor().equals(event.advisor())) {
            return WorkflowTransition.of(state);
        }
        WorkflowState next =
                state.with(state.adviceRequests().withoutInFlight(event.step()))
                        .withPlacementDue(true);
        Job job = next.jobs().get(event.step().job());
        if (job == null) {
            return dispatch(next);
        }
        return answered(next, job, event, inFlight).then(AdviceDispatcher::dispatch);
    }

    private static WorkflowTransition answered(
            WorkflowState state,
            Job job,
            WorkflowEvent.AdviceCompleted event,
            InFlightRequest inFlight) {
        StepProgress progress = job.progress(event.step());
        if (event.tickets().isEmpty()) {
            StepProgress failedProgress =
                    progress.withAdvice(progress.advice().withFailedRequest());
            return Placement.unassign(
                            state.with(job.with(event.step(), failedProgress)), event.step())
                    .with(
                            WorkflowEffect.LogEvent.of(
                                    "advice-failed",
                                    event.step(),
                                    "advisor",
                                    event.advisor(),
                                    "workers",
                                    inFlight.request().workers().size()));
        }
        long validMillis =
                state.queueOf(job).flatMap(q -> q.advice()).map(a -> a.validMillis()).orElse(0L);
        long validUntil = state.now() + validMillis - WorkflowLimits.TICKET_MARGIN_MILLIS;
        Map<String, Ticket> tickets = new HashMap<>();
        event.tickets().get().forEach((w, t) -> tickets.put(w, new Ticket(t, validUntil)));
        StepProgress updatedProgress =
                progress.withAdvice(
                        progress.advice().withTickets(inFlight.request().workers(), tickets));
        return Placement.startAssigned(
                state.with(job.with(event.step(), updatedProgress)), event.step());
    }

    /** Marks the ticket of {@code worker} as expired, so that it is renewed before its next use. */
    static WorkflowState expireTicket(WorkflowState state, StepKey key, String worker) {
        Job job = state.jobs().get(key.job());
        if (job == null) {
            return state;
        }
        StepProgress progress = job.progress(key);
        return state.with(
                job.with(key, progress.withAdvice(progress.advice().withExpiredTicket(worker))));
    }
}
