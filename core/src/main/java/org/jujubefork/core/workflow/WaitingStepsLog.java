package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;
import org.jujubefork.core.workflow.AdviceRequests.Purpose;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;
import org.jujubefork.core.workflow.StepProgress.AdviceState;
import org.jujubefork.core.workflow.WaitingSteps.Wait;

/**
 * Writes a log line about the steps that wait, with the figures of the step that has waited
 * longest. The line is written at most once a second, so that its volume does not depend on the
 * load.
 */
final class WaitingStepsLog {
    /** Minimum time between two lines. */
    static final long INTERVAL_MILLIS = 1_000;

    /** A line is written only if a step has waited for longer than this. */
    static final long MIN_WAIT_MILLIS = 1_000;

    private WaitingStepsLog() {}

    /** Logs the waiting steps of the pass that used {@code capacity}, if that is due. */
    static WorkflowTransition writeIfDue(WorkflowState state, PassCapacity capacity) {
        WaitingSteps waiting = state.waitingSteps();
        Optional<StepKey> longest = waiting.longest();
        boolean isDue =
                longest.isPresent()
                        && state.now() - waiting.steps().get(longest.get()).since()
                                > MIN_WAIT_MILLIS
                        && state.now() - waiting.loggedAt() >= INTERVAL_MILLIS;
        return isDue
                ? WorkflowTransition.of(state.with(waiting.withLoggedAt(state.now())))
                        .with(line(state, longest.get(), capacity))
                : WorkflowTransition.of(state);
    }

    private static WorkflowEffect line(WorkflowState state, StepKey key, PassCapacity capacity) {
        Job job = state.jobs().get(key.job());
        StepProgress progress = job.progress(key);
        Wait wait = state.waitingSteps().steps().get(key);
        List<Object> fields = new ArrayList<>();
        addAll(fields, "steps", state.waitingSteps().steps().size());
        addAll(fields, "counts", counts(state.waitingSteps()));
        addAll(fields, "reason", wait.reason().label());
        addAll(fields, "waited_ms", state.now() - wait.since());
        addAll(fields, "accepted_ms_ago", state.now() - job.acceptedAt());
        addAll(fields, "queue", job.queue());
        addAll(fields, "team", job.team());
        addAll(fields, "tasks_waiting", progress.waitingCount());
        addAll(fields, "tasks_assigned", progress.assignedCount());
        Optional<Queue> queue = state.queueOf(job);
        if (queue.isPresent()) {
            Candidate candidate = Placement.candidate(state, job, key, queue.get());
            addWorkers(fields, candidate, capacity);
            Optional<Long> value = state.policies().order().value().apply(candidate);
            value.ifPresent(v -> addAll(fields, "order_value_ms", v));
        }
        addAll(fields, "reserved", capacity.reservedWorkerCount());
        addRequests(fields, state, key, progress.advice());
        addOldest(fields, state);
        addAll(fields, "requests", requestCounts(state.adviceRequests(), state.now()));
        addAll(fields, "unknown_cpu_millis", capacity.maxUnknownUsage().cpuMillis());
        addAll(fields, "unreached", Fleet.unreachedCount(state));
        return WorkflowEffect.LogEvent.of("steps-waiting", key, fields.toArray());
    }

    /**
     * Adds the step whose job was accepted first. It can differ from the step that has waited
     * longest, because a wait begins anew with each term.
     */
    private static void addOldest(List<Object> fields, WorkflowState state) {
        Map<StepKey, Wait> steps = state.waitingSteps().steps();
        StepKey oldest =
                Collections.min(
                        steps.keySet(),
                        Comparator.comparingLong(k -> state.jobs().get(k.job()).acceptedAt()));
        addAll(fields, "oldest", oldest);
        addAll(fields, "oldest_reason", steps.get(oldest).reason().label());
        addAll(
                fields,
                "oldest_accepted_ms_ago",
                state.now() - state.jobs().get(oldest.job()).acceptedAt());
    }

    /**
     * Returns the queued and in-flight requests of each purpose and the age of the oldest queued
     * one, for example {@code first:120/4:15209ms,further:6/0:11094ms}.
     */
    private static String requestCounts(AdviceRequests requests, long now) {
        List<String> counts = new ArrayList<>();
        for (Purpose purpose : Purpose.values()) {
            List<AdviceRequest> queued =
                    requests.pending().stream().filter(r -> r.purpose() == purpose).toList();
            long inFlight =
                    requests.inFlight().values().stream()
                            .filter(r -> r.request().purpose() == purpose)
                            .count();
            if (inFlight > 0 || !queued.isEmpty()) {
                long since = queued.stream().mapToLong(AdviceRequest::queuedAt).min().orElse(now);
                counts.add(
                        "%s:%d/%d:%dms"
                                .formatted(
                                        purpose.name().toLowerCase(Locale.ROOT),
                                        queued.size(),
                                        inFlight,
                                        now - since));
            }
        }
        return String.join(",", counts);
    }

    private static void addAll(List<Object> fields, String key, Object value) {
        fields.add(key);
        fields.add(value);
    }

    /** Returns the number of steps of each reason, for example {@code no-room:3,no-ticket:1}. */
    private static String counts(WaitingSteps waiting) {
        return waiting.byReason().entrySet().stream()
                .map(e -> e.getKey().label() + ":" + e.getValue().count())
                .collect(Collectors.joining(","));
    }

    /**
     * Adds the figures of the usable workers. If the queue needs no advice, each worker that could
     * run the step counts as one with a ticket.
     */
    private static void addWorkers(
            List<Object> fields, Candidate candidate, PassCapacity capacity) {
        AdviceState advice = candidate.progress().advice();
        boolean needsAdvice = candidate.queue().advice().isPresent();
        int usable = 0;
        int eligible = 0;
        int withTicket = 0;
        int refused = 0;
        long placesWithTicket = 0;
        long placesWithoutTicket = 0;
        long placesReserved = 0;
        for (WorkerNode node : capacity.usableWorkers()) {
            usable += node.listing().service().equals(candidate.queue().service()) ? 1 : 0;
            if (!PassCapacity.isEligible(candidate, node)) {
                continue;
            }
            eligible++;
            placesReserved += capacity.reservedPlaces(candidate, node);
            if (!needsAdvice || advice.tickets().containsKey(node.id())) {
                withTicket++;
                placesWithTicket += capacity.freePlaces(candidate, node);
            } else {
                refused += advice.isRefused(node) ? 1 : 0;
                placesWithoutTicket += capacity.freePlaces(candidate, node);
            }
        }
        addAll(fields, "rank", candidate.rank());
        addAll(fields, "workers", usable);
        addAll(fields, "eligible", eligible);
        addAll(fields, "with_ticket", withTicket);
        addAll(fields, "refused", refused);
        addAll(fields, "places_with_ticket", placesWithTicket);
        addAll(fields, "places_without_ticket", placesWithoutTicket);
        addAll(fields, "places_reserved", placesReserved);
    }

    /**
     * Adds the state of the requests to the advice service. A request is {@code lost} if the step
     * waits for its answer and it is neither queued nor in flight.
     */
    private static void addRequests(
            List<Object> fields, WorkflowState state, StepKey key, AdviceState advice) {
        addRequest(fields, state, key, advice.choicePending(), false);
        addRequest(fields, state, key, advice.renewalPending(), true);
    }

    private static void addRequest(
            List<Object> fields,
            WorkflowState state,
            StepKey key,
            boolean isPending,
            boolean isRenewal) {
        String name = isRenewal ? "renewal" : "request";
        Optional<AdviceRequest> queued =
                state.adviceRequests().pending().stream()
                        .filter(r -> belongsTo(r, key, isRenewal))
                        .findFirst();
        Optional<InFlightRequest> inFlight =
                state.adviceRequests().inFlight().values().stream()
                        .filter(r -> belongsTo(r.request(), key, isRenewal))
                        .findFirst();
        if (inFlight.isPresent()) {
            addAll(fields, name, "in-flight");
            addAll(fields, name + "_ms", state.now() - inFlight.get().sentAt());
            addAll(fields, name + "_advisor", inFlight.get().advisor());
        } else if (queued.isPresent()) {
            addAll(fields, name, "queued");
            addAll(fields, name + "_ms", state.now() - queued.get().queuedAt());
        } else {
            addAll(fields, name, isPending ? "lost" : "none");
        }
    }

    private static boolean belongsTo(AdviceRequest request, StepKey key, boolean isRenewal) {
        return request.step().equals(key) && (request.purpose() == Purpose.RENEWAL) == isRenewal;
    }
}
