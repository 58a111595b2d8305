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
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Collects why steps wait during one placement pass. Mutable; used on the control thread for one
 * pass only. It has no influence on decisions.
 */
final class PassWaits {
    /**
     * Minimum time between two lines about the failure of one job or step, so that their volume
     * does not depend on the number of passes.
     */
    private static final long FAILURE_LOG_INTERVAL_MILLIS = 1_000;

    private final WaitingSteps previous;
    private final AdviceRequests requests;
    private final long now;
    private final Map<StepKey, Wait> steps = new HashMap<>();
    private PMap<String, Long> failuresLoggedAt = HashTreePMap.empty();

    /** The steps with a request for further workers in flight; null until it is needed. */
    private Set<StepKey> stepsInFlight;

    private PassWaits(WorkflowState state) {
        this.previous = state.waitingSteps();
        this.requests = state.adviceRequests();
        this.now = state.now();
        for (Map.Entry<String, Long> failure : previous.failuresLoggedAt().entrySet()) {
            if (now - failure.getValue() < FAILURE_LOG_INTERVAL_MILLIS) {
                failuresLoggedAt = failuresLoggedAt.plus(failure.getKey(), failure.getValue());
            }
        }
    }

    /**
     * Returns whether a line about the failure to handle {@code subject}, a job or step, is due,
     * and records that it is written.
     */
    boolean recordFailureIfDue(Object subject) {
        boolean isDue = !failuresLoggedAt.containsKey(subject.toString());
        if (isDue) {
            failuresLoggedAt = failuresLoggedAt.plus(subject.toString(), now);
        }
        return isDue;
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
                previous.loggedAt(),
                failuresLoggedAt);
    }
}
