package org.jujubefork.core.workflow;

import java.util.Map;
import java.util.TreeMap;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The operators' requests to evacuate zones in the store of the simulation, and the entries' watch
 * of them. Off unless {@link #enable} was called.
 */
final class SimulatedEvacuations {
    /** The bound of the rule, in milliseconds. */
    static final long EVACUATION_MILLIS = 5_000;

    private static final int MAX_WATCH_MILLIS = 1_200;
    private static final long WATCH_RETRY_MILLIS = 150;

    /** A request and the time at which it was written. */
    private record Written(EvacuationRequest request, long at) {}

    private final Simulation simulation;
    private final Map<String, Written> requests = new TreeMap<>();
    private long nextRevision = 1;
    private boolean enabled;

    SimulatedEvacuations(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Makes evacuations part of the deployment. Called before the simulation runs. */
    void enable() {
        enabled = true;
    }

    /** Returns what an entry knows when it starts. */
    Evacuations initialView() {
        return enabled ? Evacuations.notRead(EVACUATION_MILLIS) : Evacuations.NONE;
    }

    /** Writes a request to evacuate {@code zone} now. */
    void evacuate(String zone) {
        requests.put(
                zone, new Written(new EvacuationRequest(nextRevision++, true), simulation.now()));
    }

    /** Removes the request to evacuate {@code zone} now. */
    void withdraw(String zone) {
        requests.remove(zone);
    }

    /** Leaves the watch calls of the leader without an answer for {@code millis}. */
    void silenceWatchOfLeader(long millis) {
        simulation
                .leading()
                .ifPresent(e -> e.evacuationWatchSilentUntil = simulation.now() + millis);
    }

    private PMap<String, EvacuationRequest> view() {
        PMap<String, EvacuationRequest> view = HashTreePMap.empty();
        for (Map.Entry<String, Written> request : requests.entrySet()) {
            view = view.plus(request.getKey(), request.getValue().request());
        }
        return view;
    }

    /** Returns {@code result} with the requests that the claim reads after it has won. */
    ClaimResult withRequests(ClaimResult result) {
        if (!enabled || !(result instanceof ClaimResult.Won won)) {
            return result;
        }
        WorkflowEvent.Snapshot snapshot = won.snapshot();
        return new ClaimResult.Won(
                won.leader(),
                new WorkflowEvent.Snapshot(
                        snapshot.jobs(),
                        snapshot.finished(),
                        snapshot.fleet(),
                        snapshot.silentWorkers(),
                        view()));
    }

    /** Sends watch calls of {@code entry}, one after the other. */
    void watch(SimulatedEntry entry, int boot) {
        if (!enabled || entry.boot != boot) {
            return;
        }
        long sentAt = simulation.now();
        simulation.after(
                simulation.random.nextInt(MAX_WATCH_MILLIS),
                () -> answerWatch(entry, boot, sentAt));
    }

    private void answerWatch(SimulatedEntry entry, int boot, long sentAt) {
        boolean isSilent =
                simulation.storeDown
                        || entry.partitionedFromStore
                        || entry.evacuationWatchSilentUntil > simulation.now();
        if (isSilent || simulation.randomly(0.02)) {
            simulation.after(WATCH_RETRY_MILLIS, () -> watch(entry, boot));
            return;
        }
        PMap<String, EvacuationRequest> view = view();
        simulation.after(
                simulation.latency(),
                () -> {
                    simulation.post(
                            entry,
                            boot,
                            new WorkflowEvent.EvacuationsRead(simulation.now(), sentAt, view));
                    watch(entry, boot);
                });
    }

    /** Records the requests that {@code event} has shown to {@code entry}. */
    void noteShown(SimulatedEntry entry, WorkflowEvent event) {
        if (event instanceof WorkflowEvent.EvacuationsRead read) {
            noteShown(entry, read.zones());
        } else if (event instanceof WorkflowEvent.ClaimCompleted claim
                && claim.result() instanceof ClaimResult.Won won) {
            noteShown(entry, won.snapshot().evacuations());
        }
    }

    private static void noteShown(SimulatedEntry entry, PMap<String, EvacuationRequest> view) {
        view.forEach((z, r) -> entry.shownEvacuations.merge(z, r.revision(), Math::max));
    }

    /** Reports a start command that must not leave {@code entry} now. */
    void checkStart(SimulatedEntry entry, WorkflowEffect.Start start) {
        String zone = start.worker().zone();
        Written written = requests.get(zone);
        if (written != null) {
            boolean shown =
                    entry.shownEvacuations.getOrDefault(zone, 0L) == written.request().revision();
            simulation.safetyChecker.checkEvacuation(start, written.at(), shown);
        }
    }
}
