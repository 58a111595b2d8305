package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.workflow.AdviceRequests.Purpose;
import org.jujubefork.core.workflow.Placement.Candidate;

/** Decides when a step asks the advice service for tickets, and for which workers. */
final class AdviceChoice {
    /** Time after which a step that has asked about all workers looks for new ones. */
    private static final long CHOICE_RETRY_MILLIS = 500;

    /**
     * Time after which a worker without a ticket is named again. The advice service may have left
     * it out because it was down or restarting.
     */
    private static final long REFUSAL_VALID_MILLIS = 2_000;

    private AdviceChoice() {}

    /**
     * Asks the advice service about workers that it was not asked about yet. If there are none,
     * asks again about workers that got no ticket, as long as the service has little to do.
     */
    static WorkflowState requestAdvice(
            WorkflowState state, Candidate candidate, PassCapacity capacity) {
        StepProgress.AdviceState advice = candidate.progress().advice();
        if (advice.choicePending() || state.now() < advice.nextChoiceAt()) {
            return state;
        }
        double yield = state.adviceRequests().yields().fraction(candidate.queue().name());
        List<String> newWorkers =
                AdviceCandidates.select(
                        candidate, capacity.workersWithoutAdvice(candidate), capacity, yield);
        if (!newWorkers.isEmpty()) {
            return AdviceDispatcher.requestAdvice(
                    state,
                    candidate,
                    newWorkers,
                    advice.received() ? Purpose.FURTHER : Purpose.FIRST);
        }
        List<WorkerNode> refusedWorkers =
                state.adviceRequests().isLightlyLoaded()
                        ? capacity.refusedWorkers(candidate, state.now() - REFUSAL_VALID_MILLIS)
                        : List.of();
        return refusedWorkers.isEmpty()
                ? withoutChoiceFor(state, candidate.key(), CHOICE_RETRY_MILLIS)
                : AdviceDispatcher.requestAdvice(
                        state,
                        candidate,
                        AdviceCandidates.select(candidate, refusedWorkers, capacity, yield),
                        Purpose.REPEATED);
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
                : WaitReason.NO_WORKER;
    }
}
