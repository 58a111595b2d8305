package org.jujubefork.core.workflow;

import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;
import org.jujubefork.core.workflow.AdviceRequests.Purpose;
import org.jujubefork.core.workflow.WaitingSteps.Total;
import org.jujubefork.core.workflow.WaitingSteps.Wait;

/**
 * Collects why steps wait during one placement pass. Mutable; used on the control thread for one
 * pass only. It has no influence on decisions.
 */
final class PassWaits {
    private final WaitingSteps previous;
    private final AdviceRequests requests;
    private final long now;
    private final Map<StepKey, Wait> steps = new HashMap<>();

    /** The steps with a request for further workers in flight; null until it is needed. */
    private Set<StepKey> stepsInFlight;

    private PassWaits(WorkflowState state) {
        this.previous = state.waitingSteps();
        this.requests = state.adviceRequests();
        this.now = state.now();
    }

    static PassWaits of(WorkflowState state) {
        return new PassWaits(state);
    }

    /**
     * Records that the step {@code key} waits for {@code reason}; an earlier reason of this pass is
     * replaced. The wait begins anew when fewer tasks are left to start than in the last pass.
     */
    void add(StepKey key, StepProgress progress, WaitReason reason) {
        int openTasks = progress.waitingCount() + progress.assignedCount();
        Wait last = previous.steps().get(key);
        if (last == null || openTasks < last.openTasks()) {
            steps.put(key, new Wait(reason, now, openTasks));
        } else if (last.reason() == reason && last.openTasks() == openTasks) {
            steps.put(key, last);
        } else {
            steps.put(key, new Wait(reason, last.since(), openTasks));
        }
    }

    /** Returns whether a reason was recorded for the step {@code key}. */
    boolean contains(StepKey key) {
        return steps.containsKey(key);
    }

    /** Returns whether a request for further workers of the step is in flight. */
    boolean isRequestInFlight(StepKey key) {
        if (stepsInFlight == null) {
            stepsInFlight = new HashSet<>();
            for (InFlightRequest inFlight : requests.inFlight().values()) {
                if (inFlight.request().purpose() != Purpose.RENEWAL) {
                    stepsInFlight.add(inFlight.request().step());
                }
            }
        }
        return stepsInFlight.contains(key);
    }

    /** Returns the result of the pass, which reserved {@code reservedWorkers} workers. */
    WaitingSteps build(int reservedWorkers) {
        Map<WaitReason, Total> totals = new EnumMap<>(WaitReason.class);
        StepKey longest = null;
        long longestSince = Long.MAX_VALUE;
        for (Map.Entry<StepKey, Wait> stepAndWait : steps.entrySet()) {
            Wait wait = stepAndWait.getValue();
            Total total = totals.getOrDefault(wait.reason(), Total.NONE);
            totals.put(wait.reason(), total.with(wait.since()));
            if (wait.since() < longestSince) {
                longest = stepAndWait.getKey();
                longestSince = wait.since();
            }
        }
        return new WaitingSteps(
                Collections.unmodifiableMap(steps),
                Collections.unmodifiableMap(totals),
                Optional.ofNullable(longest),
                reservedWorkers,
                previous.loggedAt());
    }
}
