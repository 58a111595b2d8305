package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.model.Resources;

/**
 * A seeded day of the simulation: jobs of many kinds, faults and planned changes, and then a calm
 * time in which accepted work must make progress.
 */
final class ProgressScenario {
    private static final int FAULT_PHASE_MILLIS = 30_000;

    /** A series of stopped entries that begins before this time ends with the fault phase. */
    private static final int LAST_SERIES_MILLIS = 16_000;

    /** An entry that is frozen before this time continues before the end of the fault phase. */
    private static final int LAST_FAULT_MILLIS = 25_000;

    /** Time after which a process that ends at the end of the fault phase runs again. */
    private static final long RESTART_MILLIS = 2_300;

    /** The rule demands no progress in this time after the last fault. */
    static final long CALM_MILLIS = 4_000;

    private static final long CHECKED_MILLIS = 30_000;
    private static final int JOB_COUNT = 70;
    private static final int LATE_JOB_COUNT = 10;
    private static final int DISRUPTION_COUNT = 14;
    private static final int FAULT_COUNT = 5;

    final Simulation simulation;
    final LostRuleChecker lostRule;
    private final ProgressWorkload workload;
    private final int wideGangSize;
    private final long calmMillis;
    private int nextJob;

    /**
     * Creates the day of {@code seed}.
     *
     * @param calmMillis the time from the last fault until work must make progress; the leader may
     *     wait for the leases of lost workers for longer than {@link #CALM_MILLIS}
     */
    ProgressScenario(long seed, long calmMillis) {
        this.calmMillis = calmMillis;
        int entryCount = 2 + Math.floorMod(seed, 4);
        wideGangSize = 8 + Math.floorMod(seed, 9);
        simulation =
                new Simulation(seed, entryCount, wideGangSize, ProgressWorkload.configuration());
        simulation.runsPerFailure = 20;
        simulation.maxRunMillis = 1_000 + 1_000 * Math.floorMod(seed, 5);
        int smallServiceWorkers = 3 + Math.floorMod(seed, 3);
        for (int i = 0; i < smallServiceWorkers; i++) {
            simulation.addWorker(
                    ProgressWorkload.SMALL_SERVICE, Resources.of(16_000, 64_000, 0), List.of("b"));
        }
        lostRule = new LostRuleChecker(simulation);
        workload = new ProgressWorkload(simulation.random);
    }

    private void submitLater(int delay) {
        String id = String.format("%016x", nextJob++);
        WorkflowDefinition job = workload.job(wideGangSize);
        String queue = workload.queue();
        String team = workload.team();
        boolean isCancelled = simulation.random.nextInt(10) == 0;
        simulation.after(
                delay,
                () -> {
                    simulation.callers.submit(id, job, queue, team);
                    if (isCancelled) {
                        simulation.after(800, () -> simulation.callers.cancel(id));
                    }
                });
    }

    /** Runs the day. */
    void run() {
        SimulatedFaults faults = new SimulatedFaults(simulation);
        SimulatedDisruptions disruptions = new SimulatedDisruptions(simulation, faults);
        simulation.followers.watch();
        simulation.run(2_000);
        for (int i = 0; i < JOB_COUNT; i++) {
            submitLater(simulation.random.nextInt(FAULT_PHASE_MILLIS));
        }
        for (int i = 0; i < LATE_JOB_COUNT; i++) {
            submitLater(FAULT_PHASE_MILLIS + simulation.random.nextInt((int) CHECKED_MILLIS));
        }
        for (int i = 0; i < DISRUPTION_COUNT; i++) {
            simulation.after(simulation.random.nextInt(FAULT_PHASE_MILLIS), disruptions::inject);
        }
        for (int i = 0; i < FAULT_COUNT; i++) {
            simulation.after(simulation.random.nextInt(LAST_FAULT_MILLIS), faults::inject);
        }
        if (simulation.random.nextBoolean()) {
            simulation.after(
                    simulation.random.nextInt(LAST_SERIES_MILLIS), disruptions::terminateInSeries);
        }
        simulation.run(FAULT_PHASE_MILLIS);
        if (simulation.random.nextBoolean()) {
            disruptions.killAllEntries();
        }
        faults.stop();
        disruptions.stop();
        simulation.run(RESTART_MILLIS + calmMillis);
        lostRule.watch();
        simulation.run(CHECKED_MILLIS);
    }
}
