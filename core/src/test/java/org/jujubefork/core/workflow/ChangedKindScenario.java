package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.model.Resources;

/**
 * A seeded day of the simulation in which workers crash and start again under their identifiers
 * with another service, other labels or another capacity, while tasks wait for capacity.
 */
final class ChangedKindScenario {
    private static final int ENTRY_COUNT = 3;
    private static final int WORKER_COUNT = 8;
    private static final int JOB_COUNT = 160;
    private static final int MAX_TASK_COUNT = 6;
    private static final int MAX_RUN_MILLIS = 3_000;
    private static final int FAULT_PHASE_MILLIS = 40_000;
    private static final int RESTART_COUNT = 24;
    private static final int MAX_DOWN_MILLIS = 3_000;

    /** A worker answers renewals before a list shows its new kind, as when the store is slow. */
    private static final int LIST_INTERVAL_MILLIS = 3_000;

    /** Time for a takeover and the longest lease of a worker. */
    private static final int CALM_MILLIS = 14_000;

    private static final int CHECKED_MILLIS = 30_000;
    private static final List<String> QUEUES = List.of("plain", "plain", "cheap", "medium");
    private static final List<String> LABELS = List.of("", "a", "b");
    private static final List<Resources> CAPACITIES =
            List.of(Resources.of(16_000, 64_000, 0), Resources.of(8_000, 64_000, 0));

    final Simulation simulation;
    final LostRuleChecker lostRule;
    private final SimulatedFaults faults;

    ChangedKindScenario(long seed, boolean checksUnawareStarts) {
        simulation = new Simulation(seed, ENTRY_COUNT, 0, ProgressWorkload.configuration());
        simulation.checksUnawareStarts = checksUnawareStarts;
        simulation.workerListIntervalMillis = LIST_INTERVAL_MILLIS;
        simulation.maxRunMillis = MAX_RUN_MILLIS;
        simulation.runsPerFailure = 40;
        for (int i = 0; i < WORKER_COUNT; i++) {
            simulation.addWorker(service(), capacity(), labels());
        }
        lostRule = new LostRuleChecker(simulation);
        faults = new SimulatedFaults(simulation);
    }

    private String service() {
        return simulation.random.nextInt(3) == 0 ? ProgressWorkload.SMALL_SERVICE : "s";
    }

    private Resources capacity() {
        return CAPACITIES.get(simulation.random.nextInt(CAPACITIES.size()));
    }

    private List<String> labels() {
        return List.of(LABELS.get(1 + simulation.random.nextInt(LABELS.size() - 1)));
    }

    /** Plays the day. */
    void run() {
        simulation.run(2_000);
        for (int i = 0; i < JOB_COUNT; i++) {
            String id = String.format("%016x", i);
            WorkflowDefinition job = job();
            String queue = QUEUES.get(simulation.random.nextInt(QUEUES.size()));
            simulation.after(
                    simulation.random.nextInt(FAULT_PHASE_MILLIS),
                    () -> simulation.callers.submit(id, job, queue, "shared"));
        }
        for (int i = 0; i < RESTART_COUNT; i++) {
            simulation.after(simulation.random.nextInt(FAULT_PHASE_MILLIS), this::changeKind);
        }
        simulation.run(FAULT_PHASE_MILLIS + MAX_DOWN_MILLIS);
        faults.stop();
        simulation.run(CALM_MILLIS);
        lostRule.watch();
        simulation.run(CHECKED_MILLIS);
    }

    private WorkflowDefinition job() {
        int taskCount = 1 + simulation.random.nextInt(MAX_TASK_COUNT);
        Resources size = Resources.of(1_000 + simulation.random.nextInt(7_000), 1_000, 0);
        String label = LABELS.get(simulation.random.nextInt(LABELS.size()));
        return TestSteps.job(TestSteps.labeled(taskCount, size, 0, List.of(), label));
    }

    private void changeKind() {
        SimulatedWorker worker =
                simulation.workers.get("w" + simulation.random.nextInt(WORKER_COUNT));
        if (!worker.isUp()) {
            return;
        }
        worker.crash();
        simulation.after(
                simulation.random.nextInt(MAX_DOWN_MILLIS),
                () -> {
                    WorkerNode.Listing old = worker.listing;
                    worker.listing =
                            new WorkerNode.Listing(
                                    old.id(),
                                    service(),
                                    old.address(),
                                    old.zone(),
                                    false,
                                    capacity(),
                                    labels(),
                                    old.rack(),
                                    old.born());
                    worker.comeBack();
                });
        if (simulation.random.nextInt(8) == 0) {
            simulation.leading().ifPresent(faults::kill);
        }
    }
}
