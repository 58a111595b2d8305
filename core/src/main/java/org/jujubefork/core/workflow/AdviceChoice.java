package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.Purpose;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/** Decides when a step asks the advice service for tickets, and for which workers. */
final class AdviceChoice {
    /** Time after which a step that has asked about all workers looks for new ones. */
    private static final long CHOICE_RETRY_MILLIS = 500;

    /** Time after which the workers of a queued request are chosen again. */
    private static final long CHOICE_VALID_MILLIS = 1_000;

    private AdviceChoice() {}

    /**
     * The workers that the next request of a step names.
     *
     * @param workers the workers
     * @param purpose why they are named
     */
    record Choice(List<String> workers, Purpose purpose) {
        /** Copies the workers. */
        Choice {
            workers = List.copyOf(workers);
        }
    }

    /**
     * Asks the advice service about workers that it was not asked about yet in their present
     * incarnation.
     */
    static WorkflowState requestAdvice(
            WorkflowState state, Candidate candidate, PassCapacity capacity) {
        StepProgress.AdviceState advice = candidate.progress().advice();
        if (advice.choicePending() || state.now() < advice.nextChoiceAt()) {
            return state;
        }
        Choice choice = choose(state, candidate, capacity);
        return choice.workers().isEmpty()
                ? withoutChoiceFor(state, candidate.key(), CHOICE_RETRY_MILLIS)
                : AdviceDispatcher.requestAdvice(
                        state, candidate, choice.workers(), choice.purpose());
    }

    private static Choice choose(WorkflowState state, Candidate candidate, PassCapacity capacity) {
        double yield = state.adviceRequests().yields().fraction(candidate.queue().name());
        List<String> newWorkers =
                AdviceCandidates.select(
                        candidate, capacity.workersWithoutAdvice(candidate), capacity, yield);
        boolean isFirst = !candidate.progress().advice().received();
        return new Choice(newWorkers, isFirst ? Purpose.FIRST : Purpose.FURTHER);
    }

    /**
     * Returns {@code request} as it should be sent now, or empty if there is nobody left to ask
     * about. While a request is queued, workers leave and join, and others lose their room.
     */
    static Optional<AdviceRequest> current(
            WorkflowState state, AdviceRequest request, Supplier<PassCapacity> capacity) {
        Job job = state.jobs().get(request.step().job());
        Queue queue = state.queueOf(job).orElseThrow();
        if (request.purpose() == Purpose.RENEWAL) {
            List<String> workers = workersToRenew(state, job.progress(request.step()), request);
            return named(request, queue, new Choice(workers, Purpose.RENEWAL));
        }
        if (!isOutdated(state, request)) {
            return Optional.of(request);
        }
        Candidate candidate = Placement.candidate(state, job, request.step(), queue);
        return named(request, queue, choose(state, candidate, capacity.get()));
    }

    private static Optional<AdviceRequest> named(
            AdviceRequest request, Queue queue, Choice choice) {
        return choice.workers().isEmpty()
                ? Optional.empty()
                : Optional.of(
                        request.with(
                                choice.workers(),
                                choice.purpose(),
                                AdviceDispatcher.costMillis(queue, choice.workers().size())));
    }

    private static boolean isOutdated(WorkflowState state, AdviceRequest request) {
        return state.now() - request.queuedAt() > CHOICE_VALID_MILLIS
                || request.workers().stream()
                        .map(w -> state.workers().get(w))
                        .anyMatch(n -> n == null || !state.isOpenForStarts(n));
    }

    /** Returns the workers of {@code request} on which tasks of the step still wait to start. */
    private static List<String> workersToRenew(
            WorkflowState state, StepProgress progress, AdviceRequest request) {
        Set<String> assigned =
                progress.tasks().stream()
                        .filter(t -> t.phase() == Task.Phase.ASSIGNED)
                        .map(Task::worker)
                        .collect(Collectors.toSet());
        return request.workers().stream().filter(assigned::contains).toList();
    }

    /** Returns a copy in which the step asks for no further workers for {@code millis}. */
    private static WorkflowState withoutChoiceFor(WorkflowState state, StepKey key, long millis) {
        Job job = state.jobs().get(key.job());
        StepProgress progress = job.progress(key);
        return state.with(
                job.with(
                        key,
                        progress.withAdvice(
                                progress.advice().withNextChoiceAt(state.now() + millis))));
    }

    /** Returns why the step has no answer of the advice service yet. */
    static WaitReason firstAnswerReason(
            WorkflowState state, Candidate candidate, PassCapacity capacity, PassWaits waits) {
        StepKey key = candidate.key();
        if (state.jobs().get(key.job()).progress(key).advice().choicePending()) {
            return waits.isRequestInFlight(key)
                    ? WaitReason.ADVICE_IN_FLIGHT
                    : WaitReason.ADVICE_QUEUED;
        }
        return capacity.hasEligibleWorker(candidate)
                ? WaitReason.ADVICE_NOT_REQUESTED
                : capacity.noWorkerReason(candidate);
    }
}
