package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Seeded sequences of faults against the reducer. Guards against tasks that run twice at a time, a
 * worker over its capacity, steps out of order, and accepted jobs that are lost or never end.
 */
public final class WorkflowFaultsTest {
    private static final int JOBS = 60;
    private static final long FAULTY_MILLIS = 30_000;

    /** Takeover, the longest lease of an unreachable worker, and the work itself. */
    private static final long RECOVERY_MILLIS = 60_000;

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    private static WorkflowDefinition job(Simulation world) {
        List<StepDefinition> steps = new ArrayList<>();
        int count = 1 + world.random.nextInt(2);
        for (int i = 0; i < count; i++) {
            boolean gang = world.random.nextInt(3) == 0;
            int tasks = 1 + world.random.nextInt(5);
            Resources size = Resources.of(500 + world.random.nextInt(4_000), 1_000, 0);
            List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
            steps.add(TestSteps.step(tasks, size, 0, after, gang));
        }
        return new WorkflowDefinition("p", steps, 0, 0, 0);
    }

    @Test(dataProvider = "seeds")
    public void safeUnderFaults(long seed) {
        Simulation world = new Simulation(seed, 3, 6);
        SimulatedFaults faults = new SimulatedFaults(world);
        world.run(2_000);
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", i);
            WorkflowDefinition job = job(world);
            world.at(
                    world.random.nextInt((int) FAULTY_MILLIS),
                    () -> {
                        world.callers.submit(id, job);
                        if (world.random.nextInt(8) == 0) {
                            world.at(500, () -> world.callers.cancel(id));
                        }
                    });
        }
        for (int i = 0; i < 12; i++) {
            world.at(world.random.nextInt((int) FAULTY_MILLIS), faults::fault);
        }
        world.run(FAULTY_MILLIS);
        faults.calm();
        world.run(RECOVERY_MILLIS);
        List<String> accepted = world.callers.accepted().stream().sorted().toList();
        accepted.forEach(world.callers::query);
        world.run(1_000);
        assertEquals(String.join("; ", world.violations()), "");
        List<String> failedEarly =
                accepted.stream()
                        .filter(j -> world.callers.shown().get(j) == Job.Status.FAILED)
                        .filter(j -> world.safety.failuresOf(j) < Simulation.ATTEMPTS)
                        .toList();
        assertEquals(String.join("; ", failedEarly), "", "failed before all attempts");
        List<String> open =
                accepted.stream()
                        .filter(j -> world.callers.shown().get(j) != Job.Status.DONE)
                        .filter(j -> world.callers.shown().get(j) != Job.Status.FAILED)
                        .filter(j -> !world.callers.cancelled().contains(j))
                        .toList();
        assertEquals(String.join("; ", open), "", "jobs that have not ended");
    }
}
