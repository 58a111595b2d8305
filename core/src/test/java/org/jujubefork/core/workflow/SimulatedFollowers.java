package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.LeaderSignal;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** The connections between the entries of the simulation and its leader. */
final class SimulatedFollowers {
    private static final int CHECK_INTERVAL_MILLIS = 200;
    private static final int MILLICORES = 1_000;

    /** Time after SIGTERM at which the process of an entry ends. */
    private static final long GRACE_MILLIS = 5_000;

    private final Simulation simulation;
    private String lastLeader = "";
    private long lastRevision;
    private PMap<String, Integer> lastFollowers = HashTreePMap.empty();

    SimulatedFollowers(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Reports the connected entries to the leader, now and whenever they change. */
    void watch() {
        simulation.leading().ifPresent(this::report);
        simulation.after(CHECK_INTERVAL_MILLIS, this::watch);
    }

    private void report(SimulatedEntry leader) {
        PMap<String, Integer> followers = HashTreePMap.empty();
        for (SimulatedEntry entry : simulation.entries) {
            if (entry != leader && entry.isUp) {
                followers = followers.plus(entry.id, MILLICORES);
            }
        }
        long revision = leader.state.fence();
        if (leader.id.equals(lastLeader)
                && revision == lastRevision
                && followers.equals(lastFollowers)) {
            return;
        }
        lastLeader = leader.id;
        lastRevision = revision;
        lastFollowers = followers;
        simulation.post(
                leader,
                leader.boot,
                new WorkflowEvent.FollowersChanged(simulation.now(), followers));
    }

    /** Sends each follower its position among the successors of {@code leader}. */
    void announce(SimulatedEntry leader, WorkflowEffect.AnnounceSuccession succession) {
        List<String> successors = succession.entries();
        for (int i = 0; i < successors.size(); i++) {
            int position = i;
            SimulatedEntry follower = entry(successors.get(i));
            int boot = follower.boot;
            simulation.after(
                    simulation.latency(),
                    () ->
                            simulation.post(
                                    follower,
                                    boot,
                                    new WorkflowEvent.SuccessionAnnounced(
                                            simulation.now(), leader.id, position)));
        }
    }

    private SimulatedEntry entry(String id) {
        return simulation.entries.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
    }

    /** Tells all other entries that {@code leader} shuts down. */
    void resigned(SimulatedEntry leader) {
        signal(leader, LeaderSignal.RESIGNED);
    }

    private void signal(SimulatedEntry leader, LeaderSignal signal) {
        for (SimulatedEntry follower : simulation.entries) {
            int boot = follower.boot;
            if (follower != leader && follower.isUp) {
                simulation.after(
                        simulation.latency(),
                        () ->
                                simulation.post(
                                        follower,
                                        boot,
                                        new WorkflowEvent.LeaderSignalReceived(
                                                simulation.now(), leader.id, signal)));
            }
        }
    }

    /** Stops {@code entry} with SIGTERM; its process ends after a grace time and starts again. */
    void terminate(SimulatedEntry entry, SimulatedFaults faults) {
        int boot = entry.boot;
        simulation.post(entry, boot, new WorkflowEvent.ResignRequested(simulation.now()));
        simulation.after(
                GRACE_MILLIS,
                () -> {
                    if (entry.boot == boot) {
                        signal(entry, LeaderSignal.CONNECTION_REFUSED);
                        faults.kill(entry);
                    }
                });
    }
}
