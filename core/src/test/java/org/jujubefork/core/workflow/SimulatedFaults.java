package org.jujubefork.core.workflow;

/** Brings about faults in the simulation. */
final class SimulatedFaults {
    private final Simulation world;

    SimulatedFaults(Simulation world) {
        this.world = world;
    }

    /** Brings about a random fault. */
    void fault() {
        switch (world.random.nextInt(9)) {
            case 0 -> kill(world.nodes.get(world.random.nextInt(world.nodes.size())));
            case 1 -> world.leading().ifPresent(this::kill);
            case 2 ->
                    world.leading()
                            .ifPresent(
                                    n ->
                                            n.frozenUntil =
                                                    world.now()
                                                            + 500
                                                            + world.random.nextInt(4_000));
            case 3 -> {
                world.storeDown = true;
                world.at(500 + world.random.nextInt(5_000), () -> world.storeDown = false);
            }
            case 4 -> {
                String id = "w" + world.random.nextInt(world.workers.size());
                world.cutWorkers.add(id);
                world.at(500 + world.random.nextInt(9_000), () -> world.cutWorkers.remove(id));
            }
            case 5 -> restartWorker();
            case 6, 7 -> rivalries(1 + world.random.nextInt(6));
            default ->
                    world.leading()
                            .ifPresent(
                                    n -> {
                                        n.cutFromStore = true;
                                        world.at(
                                                500 + world.random.nextInt(6_000),
                                                () -> n.cutFromStore = false);
                                    });
        }
    }

    /** Has entries take a leader that is alive for dead, one after the other. */
    private void rivalries(int count) {
        if (count == 0) {
            return;
        }
        SimulatedEntry rival = world.nodes.get(world.random.nextInt(world.nodes.size()));
        world.store
                .leader()
                .ifPresent(
                        l ->
                                world.post(
                                        rival,
                                        rival.life,
                                        new WorkflowEvent.LeaderSignalReceived(
                                                world.now(),
                                                l.address(),
                                                WorkflowEvent.LeaderSignal.REFUSED)));
        world.at(20 + world.random.nextInt(250), () -> rivalries(count - 1));
    }

    /** Restarts a worker under its identifier. */
    private void restartWorker() {
        world.workers.get("w" + world.random.nextInt(world.workers.size())).restart();
    }

    private void kill(SimulatedEntry node) {
        int life = ++node.life;
        world.at(
                200 + world.random.nextInt(2_000),
                () -> {
                    if (node.life == life) {
                        world.boot(node);
                    }
                });
    }

    /** Ends all faults. */
    void calm() {
        world.calm = true;
        world.storeDown = false;
        world.cutWorkers.clear();
        world.nodes.forEach(n -> n.cutFromStore = false);
    }
}
