package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jujubefork.core.model.Resources;

/**
 * Changes of the fleet, of the configuration and of the advice service in the simulation, and
 * entries that are stopped one after the other.
 */
final class SimulatedDisruptions {
    private static final int MIN_WORKERS = 6;

    /** What a worker can be of another kind in. */
    private record Kind(Resources capacity, List<String> labels) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(Resources.of(32_000, 64_000, 0), List.of("a", "b")),
                    new Kind(Resources.of(16_000, 64_000, 0), List.of("a")),
                    new Kind(Resources.of(8_000, 64_000, 0), List.of("b")));

    private final Simulation simulation;
    private final SimulatedFaults faults;
    private final SplittableRandom random;
    private boolean isStopped;

    SimulatedDisruptions(Simulation simulation, SimulatedFaults faults) {
        this.simulation = simulation;
        this.faults = faults;
        this.random = simulation.random;
    }

    /** Causes a random disruption that ends with {@link #stop} at the latest. */
    void inject() {
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> crashWorkers();
            case 3 -> drainWorker();
            case 4 ->
                    simulation.addWorker(
                            random.nextInt(4) == 0 ? ProgressWorkload.SMALL_SERVICE : "s",
                            Resources.of(16_000, 64_000, 0),
                            List.of("a", "b"));
            case 5 -> removeQueue();
            case 6 -> lowerLimits();
            default -> stopAdvice();
        }
    }

    /** Ends all disruptions. */
    void stop() {
        isStopped = true;
        simulation.advice.isDown = false;
        for (SimulatedWorker worker : simulation.workers.values()) {
            if (worker.listing.draining()) {
                leave(worker);
            } else if (worker.listed && !worker.isUp()) {
                worker.comeBack();
            }
        }
        replace(ProgressWorkload.configuration().queues(), ProgressWorkload.TEAMS);
    }

    private static void leave(SimulatedWorker worker) {
        worker.crash();
        worker.listed = false;
    }

    /** Ends the processes of all entries at the same time. */
    void killAllEntries() {
        simulation.entries.forEach(faults::kill);
    }

    private void crashWorkers() {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            SimulatedWorker worker = simulation.workers.get("w" + random.nextInt(workerCount()));
            if (worker.listed && worker.isUp()) {
                worker.crash();
                simulation.after(500 + random.nextInt(9_000), () -> comeBack(worker));
            }
        }
    }

    private int workerCount() {
        return simulation.workers.size();
    }

    /** Starts a worker again under its identifier, sometimes as a worker of another kind. */
    private void comeBack(SimulatedWorker worker) {
        if (!worker.listed || worker.isUp()) {
            return;
        }
        if (random.nextInt(4) == 0) {
            Kind kind = KINDS.get(random.nextInt(KINDS.size()));
            WorkerNode.Listing listing = worker.listing;
            worker.listing = withKind(listing, listing.draining(), kind.capacity(), kind.labels());
        }
        worker.comeBack();
    }

    private static WorkerNode.Listing withKind(
            WorkerNode.Listing listing, boolean draining, Resources capacity, List<String> labels) {
        return new WorkerNode.Listing(
                listing.id(),
                listing.service(),
                listing.address(),
                listing.zone(),
                draining,
                capacity,
                labels,
                listing.rack(),
                listing.born());
    }

    private void drainWorker() {
        SimulatedWorker worker = simulation.workers.get("w" + random.nextInt(workerCount()));
        long remaining =
                simulation.workers.values().stream()
                        .filter(w -> w.listed && !w.listing.draining())
                        .count();
        if (remaining <= MIN_WORKERS || !worker.listed || worker.listing.draining()) {
            return;
        }
        WorkerNode.Listing listing = worker.listing;
        worker.listing = withKind(listing, true, listing.capacity(), listing.labels());
        worker.drainingSince = simulation.now();
        simulation.after(2_000 + random.nextInt(4_000), () -> leave(worker));
    }

    private void removeQueue() {
        CellConfiguration current = simulation.configuration.current();
        if (current.queues().size() < ProgressWorkload.QUEUE_COUNT) {
            return;
        }
        List<CellConfiguration.Queue> queues = new ArrayList<>(current.queues());
        queues.remove(random.nextInt(queues.size()));
        replace(queues, current.teams());
        simulation.after(
                1_000 + random.nextInt(6_000),
                () -> restore(current.queues(), simulation.configuration.current().teams()));
    }

    private void lowerLimits() {
        CellConfiguration current = simulation.configuration.current();
        List<CellConfiguration.Team> lowered =
                current.teams().stream()
                        .map(
                                t ->
                                        new CellConfiguration.Team(
                                                t.name(),
                                                t.keys(),
                                                t.weight(),
                                                t.limit().scaled(0.5)))
                        .toList();
        replace(current.queues(), lowered);
        simulation.after(
                1_000 + random.nextInt(6_000),
                () -> replace(simulation.configuration.current().queues(), ProgressWorkload.TEAMS));
    }

    private void restore(List<CellConfiguration.Queue> queues, List<CellConfiguration.Team> teams) {
        if (!isStopped) {
            replace(queues, teams);
        }
    }

    private void replace(List<CellConfiguration.Queue> queues, List<CellConfiguration.Team> teams) {
        CellConfiguration current = simulation.configuration.current();
        simulation.configuration.replace(
                new CellConfiguration(
                        current.version() + 1,
                        queues,
                        current.services(),
                        teams,
                        current.maxBodyBytes()));
    }

    /** Stops some entries with SIGTERM, one after the other. */
    void terminateInSeries() {
        long delay = 0;
        for (SimulatedEntry entry : simulation.entries) {
            if (random.nextBoolean()) {
                simulation.after(delay, () -> simulation.followers.terminate(entry, faults));
                delay += 2_000;
            }
        }
    }

    private void stopAdvice() {
        simulation.advice.isDown = true;
        simulation.after(500 + random.nextInt(4_000), () -> simulation.advice.isDown = false);
    }
}
