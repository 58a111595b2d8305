package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;
import org.jujubefork.core.workflow.AdviceRequests.Purpose;
import org.jujubefork.core.workflow.StepProgress.AdviceState;
import org.jujubefork.core.workflow.StepProgress.Ticket;
import org.pcollections.PSet;

/** Asks the advice service which workers may run a step, and renews tickets. */
final class AdviceDispatcher {
    /**
     * The order of the purposes, then requests of more urgent steps, then of more urgent queues. A
     * further request for a step must not delay the first request of another one, or steps whose
     * queue is less urgent would get no tickets while the fleet is full.
     */
    static final Comparator<AdviceRequest> BY_RANK_AND_PRIORITY =
            Comparator.comparing(AdviceRequest::purpose)
                    .thenComparing(AdviceRequest::rank)
                    .thenComparing(AdviceRequest::priority);

    private AdviceDispatcher() {}

    /** Queues a request for tickets for workers that could run a step. */
    static WorkflowState requestAdvice(
            WorkflowState state,
            Placement.Candidate candidate,
            List<String> workers,
            Purpose purpose) {
        return enqueue(state, candidate, workers, candidate.rank(), purpose);
    }

    /**
     * Queues a request for new tickets for {@code workers}, on which capacity is already allocated.
     */
    static WorkflowState renewTickets(WorkflowState state, StepKey key, List<String> workers) {
        Job job = state.jobs().get(key.job());
        return state.queueOf(job)
                .map(q -> Placement.candidate(state, job, key, q))
                .map(c -> enqueue(state, c, workers, Urgency.Rank.ON_TIME, Purpose.RENEWAL))
                .orElse(state);
    }

    private static WorkflowState enqueue(
            WorkflowState state,
            Placement.Candidate candidate,
            List<String> workers,
            Urgency.Rank rank,
            Purpose purpose) {
        CellConfiguration.Queue queue = candidate.queue();
        if (queue.advice().isEmpty() || workers.isEmpty()) {
            return state;
        }
        StepKey key = candidate.key();
        Job job = state.jobs().get(key.job());
        List<String> candidates =
                workers.subList(
                        0, Math.min(workers.size(), AdviceCandidates.MAX_WORKERS_PER_REQUEST));
        StepProgress progress = job.progress(key);
        AdviceRequest request =
                new AdviceRequest(
                        key,
                        candidates,
                        rank,
                        queue.priority(),
                        DelayCost.of(candidate),
                        purpose,
                        costMillis(queue, candidates.size()),
                        state.now());
        return state.with(
                        job.with(
                                key,
                                progress.withAdvice(progress.advice().withPendingRequest(purpose))))
                .with(state.adviceRequests().withPending(request));
    }

    /** Returns how long the service takes for a request of {@code queue}, in milliseconds. */
    static long costMillis(CellConfiguration.Queue queue, int workerCount) {
        return queue.advice().map(a -> Math.round(a.costMillis(workerCount))).orElse(0L);
    }

    /** Sends pending requests through the entries that have capacity for them. */
    static WorkflowTransition dispatch(WorkflowState state) {
        if (state.adviceRequests().pending().isEmpty() || !state.hasConfirmedLeadership()) {
            return WorkflowTransition.of(state);
        }
        AdvisorLoads loads = AdvisorLoads.of(state.adviceRequests(), state.now());
        Supplier<PassCapacity> capacity = new Memoized<>(() -> PassCapacity.of(state));
        Optional<AdviceRequest> overdue = overdueRequest(state);
        overdue.ifPresent(loads::holdEntryFor);
        WorkflowTransition result = WorkflowTransition.of(state);
        for (AdviceRequest request : inDispatchOrder(state, overdue)) {
            if (loads.isFull()) {
                return result;
            }
            if (!isNeeded(result.state(), request)) {
                result = result.withState(withoutRequest(result.state(), request));
                continue;
            }
            if (!loads.canAssign(request)) {
                continue;
            }
            Optional<AdviceRequest> current =
                    AdviceChoice.current(result.state(), request, capacity);
            if (current.isEmpty()) {
                result = result.withState(withoutRequest(result.state(), request));
                continue;
            }
            Optional<String> advisor = loads.assign(current.get());
            WorkflowState dequeued =
                    result.state().with(result.state().adviceRequests().withoutPending(request));
            if (advisor.isPresent()) {
                boolean isOverdueTurn = overdue.isPresent() && overdue.get() == request;
                result =
                        result.withState(charged(dequeued, current.get(), isOverdueTurn))
                                .then(s -> send(s, current.get(), advisor.get()));
            } else {
                // It costs more than when it was queued, and no entry can accept it now.
                result =
                        result.withState(
                                dequeued.with(
                                        dequeued.adviceRequests().withPending(current.get())));
            }
        }
        return result;
    }

    /**
     * Returns the overdue request that goes before all others, if it is the turn of one: that of
     * the job that was accepted first. By the age of the request, a job would go behind newer ones
     * after each answer and each takeover.
     */
    private static Optional<AdviceRequest> overdueRequest(WorkflowState state) {
        AdviceRequests requests = state.adviceRequests();
        return requests.overdueShare().isDue()
                ? requests.pending().stream()
                        .filter(r -> r.isOverdue(state.now()))
                        .min(Comparator.comparingLong(r -> acceptedAt(state, r)))
                : Optional.empty();
    }

    private static long acceptedAt(WorkflowState state, AdviceRequest request) {
        Job job = state.jobs().get(request.step().job());
        return job == null ? Long.MAX_VALUE : job.acceptedAt();
    }

    private static List<AdviceRequest> inDispatchOrder(
            WorkflowState state, Optional<AdviceRequest> overdue) {
        List<AdviceRequest> ordered = new ArrayList<>(state.adviceRequests().pending());
        ordered.sort(state.policies().order().requests().at(state.now()));
        overdue.ifPresent(
                r -> {
                    ordered.remove(r);
                    ordered.addFirst(r);
                });
        return ordered;
    }

    /** Returns whether the answer to {@code request} can still help to start a task. */
    private static boolean isNeeded(WorkflowState state, AdviceRequest request) {
        Job job = state.jobs().get(request.step().job());
        if (job == null || !job.isActive() || state.queueOf(job).isEmpty()) {
            return false;
        }
        StepProgress progress = job.progress(request.step());
        return request.purpose() == Purpose.RENEWAL
                ? progress.hasAssigned()
                : progress.hasWaiting();
    }

    /** Returns a copy in which the cost of {@code request} counts for the overdue share. */
    private static WorkflowState charged(
            WorkflowState state, AdviceRequest request, boolean isOverdueTurn) {
        AdviceRequests requests = state.adviceRequests();
        OverdueShare share = requests.overdueShare();
        return state.with(
                requests.with(
                        isOverdueTurn
                                ? share.afterOverdue(request.costMillis())
                                : share.afterUrgent(request.costMillis())));
    }

    private static WorkflowState withoutRequest(WorkflowState state, AdviceRequest request) {
        WorkflowState next = state.with(state.adviceRequests().withoutPending(request));
        Job job = next.jobs().get(request.step().job());
        if (job == null) {
            return next;
        }
        StepProgress progress = job.progress(request.step());
        return next.with(
                job.with(
                        request.step(),
                        progress.withAdvice(
                                progress.advice().withFailedRequest(request.purpose()))));
    }

    private static WorkflowTransition send(
            WorkflowState state, AdviceRequest request, String advisor) {
        AdviceRequests requests = state.adviceRequests();
        InFlightRequest sent =
                new InFlightRequest(advisor, request, state.now(), incarnations(state, request));
        return WorkflowTransition.of(state.with(requests.withInFlight(sent)))
                .with(
                        new WorkflowEffect.RequestAdvice(
                                requests.nextNumber(),
                                advisor,
                                request.step(),
                                request.workers(),
                                request.costMillis(),
                                state.fence()));
    }

    private static Map<String, Long> incarnations(WorkflowState state, AdviceRequest request) {
        Map<String, Long> incarnations = new HashMap<>();
        for (String worker : request.workers()) {
            WorkerNode node = state.workers().get(worker);
            incarnations.put(worker, node == null ? 0 : node.contact().born());
        }
        return incarnations;
    }

    /**
     * Sends requests through {@code advisors} from now on, also those that are in flight at an
     * entry that is not among them.
     */
    static WorkflowTransition advisorsChanged(WorkflowState state, PSet<String> advisors) {
        AdviceRequests requests = state.adviceRequests();
        AdviceRequests next = requests.withAdvisors(advisors);
        int moved = requests.inFlight().size() - next.inFlight().size();
        WorkflowTransition result = WorkflowTransition.of(state.with(next));
        return (moved == 0
                        ? result
                        : result.with(
                                WorkflowEffect.LogEvent.of(
                                        "advice-moved",
                                        requests.advisors().minusAll(advisors),
                                        "requests",
                                        moved)))
                .then(AdviceDispatcher::dispatch);
    }

    static WorkflowTransition completed(WorkflowState state, WorkflowEvent.AdviceCompleted event) {
        InFlightRequest inFlight = state.adviceRequests().inFlight().get(event.number());
        if (inFlight == null) {
            return WorkflowTransition.of(state);
        }
        WorkflowState next =
                state.with(
                                state.adviceRequests()
                                        .withCompleted(
                                                event.number(),
                                                event.tickets().isPresent(),
                                                state.now()))
                        .withPlacementDue(true);
        Job job = next.jobs().get(inFlight.request().step().job());
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
        AdviceRequest request = inFlight.request();
        StepKey step = request.step();
        StepProgress progress = job.progress(step);
        if (event.tickets().isEmpty()) {
            WorkflowState failed =
                    state.with(
                            job.with(
                                    step,
                                    progress.withAdvice(
                                            progress.advice()
                                                    .withFailedRequest(request.purpose()))));
            WorkflowTransition result =
                    request.purpose() == Purpose.RENEWAL
                            ? Placement.unassign(failed, step)
                            : WorkflowTransition.of(failed);
            return result.with(
                    WorkflowEffect.LogEvent.of(
                            "advice-failed",
                            step,
                            "advisor",
                            inFlight.advisor(),
                            "workers",
                            request.workers().size(),
                            "purpose",
                            request.purpose(),
                            "sent_ms_ago",
                            state.now() - inFlight.sentAt()));
        }
        long validMillis =
                state.queueOf(job).flatMap(q -> q.advice()).map(a -> a.validMillis()).orElse(0L);
        long validUntil = state.now() + validMillis - WorkflowLimits.TICKET_MARGIN_MILLIS;
        Map<String, Ticket> tickets = new HashMap<>();
        event.tickets()
                .get()
                .forEach(
                        (worker, token) -> {
                            long incarnation = inFlight.incarnations().getOrDefault(worker, 0L);
                            tickets.put(worker, new Ticket(token, validUntil, incarnation));
                        });
        StepProgress updatedProgress =
                progress.withAdvice(
                        progress.advice()
                                .withTickets(inFlight.incarnations(), tickets, request.purpose()));
        WorkflowTransition result =
                WorkflowTransition.of(
                                withYield(state, job, request, tickets.size())
                                        .with(job.with(step, updatedProgress)))
                        .with(answerLine(inFlight, tickets.size(), state.now()))
                        .then(s -> Placement.startAssigned(s, step));
        return withdrawalLogged(result, request, progress.advice(), updatedProgress.advice());
    }

    /** Returns the log line about an answer with {@code granted} tickets that arrives now. */
    private static WorkflowEffect answerLine(InFlightRequest inFlight, int granted, long now) {
        AdviceRequest request = inFlight.request();
        return WorkflowEffect.LogEvent.of(
                "advice-answered",
                request.step(),
                "purpose",
                request.purpose(),
                "rank",
                request.rank(),
                "advisor",
                inFlight.advisor(),
                "workers",
                request.workers().size(),
                "granted",
                granted,
                "queued_ms",
                inFlight.sentAt() - request.queuedAt(),
                "sent_ms_ago",
                now - inFlight.sentAt());
    }

    /** Logs which workers of {@code request} had a ticket before the answer and have none now. */
    private static WorkflowTransition withdrawalLogged(
            WorkflowTransition result,
            AdviceRequest request,
            AdviceState before,
            AdviceState after) {
        List<String> withdrawn =
                request.workers().stream()
                        .filter(w -> before.tickets().containsKey(w))
                        .filter(w -> !after.tickets().containsKey(w))
                        .toList();
        return withdrawn.isEmpty()
                ? result
                : result.with(
                        WorkflowEffect.LogEvent.of(
                                "tickets-withdrawn",
                                request.step(),
                                "workers",
                                String.join(",", withdrawn),
                                "purpose",
                                request.purpose(),
                                "left",
                                after.tickets().size()));
    }

    private static WorkflowState withYield(
            WorkflowState state, Job job, AdviceRequest request, int granted) {
        if (request.purpose() == Purpose.RENEWAL) {
            return state;
        }
        AdviceRequests requests = state.adviceRequests();
        return state.with(
                requests.withYields(
                        requests.yields()
                                .withAnswer(job.queue(), request.workers().size(), granted)));
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
