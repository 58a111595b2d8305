package org.jujubefork.core.workflow;

import java.util.Set;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Applies the evacuations of zones: what a read has shown takes effect within the same event.
 * {@link WorkflowState#isOpenForStarts} decides whether a worker gets starts.
 */
final class ZoneEvacuation {
    private ZoneEvacuation() {}

    /** Processes the answer to a read of the watch. */
    static WorkflowTransition read(WorkflowState state, WorkflowEvent.EvacuationsRead event) {
        return apply(state, event.zones(), event.sentAt());
    }

    /** Processes what the claim of this new leader has read. */
    static WorkflowTransition readByClaim(
            WorkflowState state, PMap<String, EvacuationRequest> zones) {
        return apply(state, zones, state.leadership().claimSentAt());
    }

    private static WorkflowTransition apply(
            WorkflowState state, PMap<String, EvacuationRequest> requests, long sentAt) {
        if (!state.evacuations().enabled()) {
            return WorkflowTransition.of(state);
        }
        Evacuations before = state.evacuations();
        Evacuations after = before.withRead(requests, sentAt, state.now());
        boolean isUnchanged = before.zones().equals(after.zones());
        WorkflowState next = state.with(after);
        WorkflowTransition result =
                WorkflowTransition.of(isUnchanged ? next : next.withPlacementDue(true));
        for (String zone : addedTo(before.zones().keySet(), after.zones().keySet())) {
            result = result.then(s -> unassignIn(s, zone)).then(s -> logEvacuated(s, zone));
        }
        for (String zone : addedTo(after.zones().keySet(), before.zones().keySet())) {
            result = result.with(returnedLog(state, zone));
        }
        for (String zone : after.unusableRevisions().keySet()) {
            long revision = after.unusableRevisions().get(zone);
            if (before.unusableRevisions().getOrDefault(zone, -1L) != revision) {
                result = result.with(unreadableLog(after, zone, revision));
            }
        }
        return result.then(ZoneEvacuation::noteFreshness);
    }

    private static PSet<String> addedTo(Set<String> before, Set<String> after) {
        return HashTreePSet.from(after).minusAll(before);
    }

    /**
     * Releases the tasks that are assigned to workers in {@code zone} and have not been started. A
     * gang is released as a whole.
     */
    private static WorkflowTransition unassignIn(WorkflowState state, String zone) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (Job job : state.jobs().values()) {
            for (StepKey key : job.assignedSteps()) {
                boolean isAffected =
                        job.progress(key).tasks().stream()
                                .filter(t -> t.phase() == Task.Phase.ASSIGNED)
                                .anyMatch(t -> isIn(state, zone, t.worker()));
                if (isAffected) {
                    boolean isGang = job.step(key).gang();
                    result =
                            result.then(
                                    s ->
                                            Placement.unassign(
                                                    s, key, w -> isGang || isIn(s, zone, w)));
                }
            }
        }
        return result;
    }

    private static boolean isIn(WorkflowState state, String zone, String worker) {
        WorkerNode node = state.workers().get(worker);
        return node != null && node.listing().zone().equals(zone);
    }

    private static WorkflowTransition logEvacuated(WorkflowState state, String zone) {
        WorkflowTransition logged =
                WorkflowTransition.of(state)
                        .with(
                                LogEvent.of(
                                        "zone-evacuated",
                                        zone,
                                        "workers",
                                        listedCount(state, zone),
                                        "running",
                                        startedCount(state, zone)));
        return isUnknown(state, zone) ? logged.with(unknownLog(zone)) : logged;
    }

    private static WorkflowEffect returnedLog(WorkflowState state, String zone) {
        return LogEvent.of(
                "zone-returned",
                zone,
                "evacuated_ms",
                state.now() - state.evacuations().zones().get(zone),
                "cold",
                state.workers().values().stream()
                        .filter(w -> w.listed() && w.listing().zone().equals(zone))
                        .filter(w -> w.listing().coldLeftMillis() > 0)
                        .count());
    }

    private static WorkflowEffect unreadableLog(Evacuations view, String zone, long revision) {
        return LogEvent.of(
                "evacuation-unreadable",
                zone.isEmpty() ? "(no zone)" : zone,
                "revision",
                revision,
                "evacuated",
                view.covers(zone));
    }

    private static WorkflowEffect unknownLog(String zone) {
        return LogEvent.of("evacuated-zone-unknown", zone);
    }

    /** Returns whether the worker list is known and contains no worker of {@code zone}. */
    private static boolean isUnknown(WorkflowState state, String zone) {
        return state.workers().values().stream().anyMatch(WorkerNode::listed)
                && listedCount(state, zone) == 0;
    }

    /** Returns the number of listed workers in {@code zone}. */
    static long listedCount(WorkflowState state, String zone) {
        return state.workers().values().stream()
                .filter(w -> w.listed() && w.listing().zone().equals(zone))
                .count();
    }

    /** Returns the number of runs in {@code zone} that were started and may be active. */
    static long startedCount(WorkflowState state, String zone) {
        return state.workers().values().stream()
                .filter(w -> w.listing().zone().equals(zone))
                .flatMap(w -> w.charges().values().stream())
                .filter(c -> c.sentAt() >= 0)
                .count();
    }

    /**
     * Logs the evacuated zones without workers after the first worker list of a term, which {@code
     * before} lacks.
     */
    static WorkflowTransition noteUnknownZones(WorkflowState before, WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        if (state.evacuations().zones().isEmpty()
                || before.workers().values().stream().anyMatch(WorkerNode::listed)) {
            return result;
        }
        for (String zone : state.evacuations().zones().keySet()) {
            result = isUnknown(state, zone) ? result.with(unknownLog(zone)) : result;
        }
        return result;
    }

    /**
     * Logs when starts stop because the view of the evacuations is too old, and when they resume.
     */
    static WorkflowTransition noteFreshness(WorkflowState state) {
        Evacuations evacuations = state.evacuations();
        boolean isStale = !evacuations.isFresh(state.now());
        if (!state.leadership().leads() || isStale == evacuations.stale()) {
            return WorkflowTransition.of(state);
        }
        return WorkflowTransition.of(
                        state.with(evacuations.withStale(isStale)).withPlacementDue(true))
                .with(
                        LogEvent.of(
                                isStale ? "evacuation-view-stale" : "evacuation-view-fresh",
                                state.term(),
                                "max_age_ms",
                                evacuations.maxAgeMillis()));
    }

    /**
     * Returns whether all workers of {@code service} that could get tasks are in evacuated zones.
     */
    static boolean isServiceEvacuated(WorkflowState state, String service) {
        if (state.evacuations().zones().isEmpty()) {
            return false;
        }
        boolean hasWorker = false;
        for (WorkerNode node : state.workers().values()) {
            WorkerNode.Listing listing = node.listing();
            if (node.listed() && !listing.draining() && listing.service().equals(service)) {
                if (!state.evacuations().covers(listing.zone())) {
                    return false;
                }
                hasWorker = true;
            }
        }
        return hasWorker;
    }
}
