package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.List;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * An evacuated zone as operators see it.
 *
 * @param zone the zone
 * @param since since when this entry has known of the evacuation, in milliseconds of the monotonic
 *     clock
 * @param workers the number of its listed workers
 * @param running the number of its runs that may be active
 * @param waitingSteps the number of steps that wait for a worker of this zone
 */
public record EvacuatedZone(
        String zone, long since, long workers, long running, long waitingSteps) {
    /** Returns the evacuated zones of {@code state}. Only a leader knows workers and runs. */
    public static List<EvacuatedZone> of(WorkflowState state) {
        return state.evacuations().zones().entrySet().stream()
                .map(e -> of(state, e.getKey(), e.getValue()))
                .sorted(Comparator.comparing(EvacuatedZone::zone))
                .toList();
    }

    private static EvacuatedZone of(WorkflowState state, String zone, long since) {
        return new EvacuatedZone(
                zone,
                since,
                ZoneEvacuation.listedCount(state, zone),
                ZoneEvacuation.startedCount(state, zone),
                state.waitingSteps().steps().entrySet().stream()
                        .filter(e -> e.getValue().reason() == WaitReason.ZONE_EVACUATED)
                        .filter(e -> waitsFor(state, e.getKey(), zone))
                        .count());
    }

    private static boolean waitsFor(WorkflowState state, StepKey step, String zone) {
        Job job = state.jobs().get(step.job());
        if (job == null || state.queueOf(job).isEmpty()) {
            return false;
        }
        Candidate candidate = Placement.candidate(state, job, step, state.queueOf(job).get());
        return state.workers().values().stream()
                .filter(w -> w.listing().zone().equals(zone))
                .anyMatch(w -> PassCapacity.isEligible(candidate, w));
    }
}
