package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against tasks that run twice at the same time, workers over their capacity, steps that
 * start before their dependencies, and accepted jobs that are lost or never end. Each seed injects
 * a different sequence of faults into a simulation with the real reducer.
 */
public final class WorkflowFaultsTest {
    private static final int JOB_COUNT = 60;
    private static final long FAULT_PHASE_MILLIS = 30_000;
    private static final int EVACUATION_COUNT = 8;
    private static final int MAX_EVACUATION_MILLIS = 12_000;

    /**
     * Time for a takeover, the expiry of the longest lease of an unreachable worker, and the
     * remaining work.
     */
    private static final long RECOVERY_MILLIS = 60_000;

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    private static WorkflowDefinition job(Simulation simulation, int maxPerWorker) {
        List<StepDefinition> steps = new ArrayList<>();
        int stepCount = 1 + simulation.random.nextInt(2);
        for (int i = 0; i < stepCount; i++) {
            boolean isGang = simulation.random.nextInt(3) == 0;
            int taskCount = 1 + simulation.random.nextInt(5);
            Resources size = Resources.of(500 + simulation.random.nextInt(4_000), 1_000, 0);
            List<Integer> dependencies = i == 0 ? List.of() : List.of(i - 1);
            steps.add(TestSteps.spread(taskCount, size, dependencies, isGang, maxPerWorker));
        }
        return new WorkflowDefinition("p", steps, 0, 0, 0);
    }

    @Test(dataProvider = "seeds")
    public void invariantsHoldUnderFaults(long seed) {
        play(new Simulation(seed, 3, 6));
    }

    /** Guards, besides, against more tasks of a step on one worker than the step allows. */
    @Test(dataProvider = "seeds")
    public void invariantsHoldForStepsThatSpread(long seed) {
        play(new Simulation(seed, 3, 6), 2);
    }

    /**
     * Guards, besides, against tasks that run again because a worker does not list all of its
     * completions at a time.
     */
    @Test(dataProvider = "seeds")
    public void invariantsHoldIfWorkersListFewCompletions(long seed) {
        Simulation simulation = new Simulation(seed, 3, 6);
        simulation.maxListedEndedRuns = 2;
        play(simulation);
    }

    /**
     * Guards, besides, against start commands that leave for an evacuated zone, and against work
     * that evacuations lose or stall.
     */
    @Test(dataProvider = "seeds")
    public void invariantsHoldUnderFaultsAndEvacuations(long seed) {
        Simulation simulation = new Simulation(seed, 3, 6);
        simulation.evacuations.enable();
        for (int i = 0; i < EVACUATION_COUNT; i++) {
            String zone = "z" + simulation.random.nextInt(Simulation.ZONE_COUNT);
            long startMillis = simulation.random.nextInt((int) FAULT_PHASE_MILLIS);
            long durationMillis = 50 + simulation.random.nextInt(MAX_EVACUATION_MILLIS);
            simulation.after(startMillis, () -> simulation.evacuations.evacuate(zone));
            simulation.after(
                    Math.min(startMillis + durationMillis, FAULT_PHASE_MILLIS),
                    () -> simulation.evacuations.withdraw(zone));
            simulation.after(
                    simulation.random.nextInt((int) FAULT_PHASE_MILLIS),
                    () -> simulation.evacuations.silenceWatchOfLeader(MAX_EVACUATION_MILLIS));
        }
        play(simulation);
    }

    private static void play(Simulation simulation) {
        play(simulation, 0);
    }

    private static void play(Simulation simulation, int maxPerWorker) {
        SimulatedFaults faults = new SimulatedFaults(simulation);
        simulation.run(2_000);
        for (int i = 0; i < JOB_COUNT; i++) {
            String id = String.format("%016x", i);
            WorkflowDefinition job = job(simulation, maxPerWorker);
            simulation.after(
                    simulation.random.nextInt((int) FAULT_PHASE_MILLIS),
                    () -> {
                        simulation.callers.submit(id, job);
                        if (simulation.random.nextInt(8) == 0) {
                            simulation.after(500, () -> simulation.callers.cancel(id));
                        }
                    });
        }
        for (int i = 0; i < 12; i++) {
            simulation.after(simulation.random.nextInt((int) FAULT_PHASE_MILLIS), faults::inject);
        }
        simulation.run(FAULT_PHASE_MILLIS);
        faults.stop();
        simulation.run(RECOVERY_MILLIS);
        List<String> accepted = simulation.callers.acceptedJobs().stream().sorted().toList();
        accepted.forEach(simulation.callers::query);
        simulation.run(1_000);
        assertEquals(String.join("; ", simulation.violations()), "");
        List<String> failedEarly =
                accepted.stream()
                        .filter(
                                j ->
                                        simulation.callers.reportedStatuses().get(j)
                                                == Job.Status.FAILED)
                        .filter(j -> simulation.safetyChecker.failuresOf(j) < Simulation.ATTEMPTS)
                        .toList();
        assertEquals(
                String.join("; ", failedEarly),
                "",
                "jobs that failed before the maximum number of attempts");
        List<String> unfinished =
                accepted.stream()
                        .filter(
                                j ->
                                        simulation.callers.reportedStatuses().get(j)
                                                != Job.Status.DONE)
                        .filter(
                                j ->
                                        simulation.callers.reportedStatuses().get(j)
                                                != Job.Status.FAILED)
                        .filter(j -> !simulation.callers.cancelledJobs().contains(j))
                        .toList();
        assertEquals(String.join("; ", unfinished), "", "accepted jobs that have not ended");
    }
}
