package org.jujubefork.core.workflow;

/** Injects faults into the simulation. */
final class SimulatedFaults {
    private final Simulation simulation;

    SimulatedFaults(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Injects a random fault. */
    void inject() {
        switch (simulation.random.nextInt(9)) {
            case 0 ->
                    kill(
                            simulation.entries.get(
                                    simulation.random.nextInt(simulation.entries.size())));
            case 1 -> simulation.leading().ifPresent(this::kill);
            case 2 ->
                    simulation
                            .leading()
                            .ifPresent(
                                    e ->
                                            e.frozenUntil =
                                                    simulation.now()
                                                            + 500
                                                            + simulation.random.nextInt(4_000));
            case 3 -> {
                simulation.storeDown = true;
                simulation.after(
                        500 + simulation.random.nextInt(5_000), () -> simulation.storeDown = false);
            }
            case 4 -> {
                String id = "w" + simulation.random.nextInt(simulation.workers.size());
                simulation.partitionedWorkers.add(id);
                simulation.after(
                        500 + simulation.random.nextInt(9_000),
                        () -> simulation.partitionedWorkers.remove(id));
            }
            case 5 -> restartWorker();
            case 6, 7 -> reportLeaderConnectionsRefused(1 + simulation.random.nextInt(6));
            default ->
                    simulation
                            .leading()
                            .ifPresent(
                                    e -> {
                                        e.partitionedFromStore = true;
                                        simulation.after(
                                                500 + simulation.random.nextInt(6_000),
                                                () -> e.partitionedFromStore = false);
                                    });
        }
    }

    /**
     * Reports to {@code count} random entries, one after the other, that the leader refused the
     * connection although the leader is alive, so that these entries try to replace it.
     */
    private void reportLeaderConnectionsRefused(int count) {
        if (count == 0) {
            return;
        }
        SimulatedEntry claimant =
                simulation.entries.get(simulation.random.nextInt(simulation.entries.size()));
        simulation
                .store
                .leader()
                .ifPresent(
                        l ->
                                simulation.post(
                                        claimant,
                                        claimant.boot,
                                        new WorkflowEvent.LeaderSignalReceived(
                                                simulation.now(),
                                                l.address(),
                                                WorkflowEvent.LeaderSignal.CONNECTION_REFUSED)));
        simulation.after(
                20 + simulation.random.nextInt(250),
                () -> reportLeaderConnectionsRefused(count - 1));
    }

    /** Restarts a random worker under the same identifier. */
    private void restartWorker() {
        simulation
                .workers
                .get("w" + simulation.random.nextInt(simulation.workers.size()))
                .restart();
    }

    /** Ends the process of {@code entry} and starts it again. */
    void kill(SimulatedEntry entry) {
        entry.isUp = false;
        int bootNumber = ++entry.boot;
        simulation.after(
                200 + simulation.random.nextInt(2_000),
                () -> {
                    if (entry.boot == bootNumber) {
                        simulation.startEntry(entry);
                    }
                });
    }

    /** Ends all faults and injects no more. */
    void stop() {
        simulation.faultsDisabled = true;
        simulation.storeDown = false;
        simulation.partitionedWorkers.clear();
        simulation.entries.forEach(e -> e.partitionedFromStore = false);
    }
}
