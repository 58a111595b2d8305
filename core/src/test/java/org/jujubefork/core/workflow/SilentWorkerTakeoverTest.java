package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a takeover that stops the work of earlier terms until the leases of a worker have
 * expired that was cut off long before. In a large fleet some worker is always cut off.
 */
public final class SilentWorkerTakeoverTest {
    private static final int JOB_COUNT = 12;

    /** Enough for a takeover and for the second steps, which take up to 1.6 s for each run. */
    private static final long MAX_COMPLETION_MILLIS = 6_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** Returns a job of two steps, of which the second one starts after the takeover. */
    private static WorkflowDefinition twoSteps() {
        Resources size = Resources.of(1_000, 1_000, 0);
        return new WorkflowDefinition(
                "p",
                List.of(
                        TestSteps.step(1, size, 500, List.of(), false),
                        TestSteps.step(1, size, 500, List.of(0), false)),
                0,
                0,
                0);
    }

    @Test(dataProvider = "seeds")
    public void workOfEarlierTermGoesOnWhileWorkerIsSilent(long seed) {
        Simulation simulation =
                new Simulation(seed, 2, 4, Simulation.configuration(Resources.of(0, 0, 0)));
        simulation.faultsDisabled = true;
        simulation.run(3_000);
        String onSilentWorker = String.format("%016x", 1_000);
        simulation.callers.submit(onSilentWorker, LeaderFixture.job(4, 1, false));
        simulation.run(100);
        simulation.partitionedWorkers.add("w0");
        simulation.run(4_000);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOB_COUNT; i++) {
            String id = String.format("%016x", i);
            jobs.add(id);
            simulation.callers.submit(id, twoSteps());
        }
        simulation.run(150);
        SimulatedEntry leader = simulation.leading().orElseThrow();
        String address = simulation.store.leader().orElseThrow().address();
        leader.boot++;
        for (SimulatedEntry other : simulation.entries) {
            if (other != leader) {
                simulation.post(
                        other,
                        other.boot,
                        new WorkflowEvent.LeaderSignalReceived(
                                simulation.now(),
                                address,
                                WorkflowEvent.LeaderSignal.CONNECTION_REFUSED));
            }
        }
        simulation.run(MAX_COMPLETION_MILLIS);
        jobs.forEach(simulation.callers::query);
        simulation.run(500);
        List<String> unfinished =
                jobs.stream()
                        .filter(
                                j ->
                                        simulation.callers.reportedStatuses().get(j)
                                                != Job.Status.DONE)
                        .filter(
                                j ->
                                        simulation.callers.reportedStatuses().get(j)
                                                != Job.Status.FAILED)
                        .toList();
        assertEquals(String.join("; ", unfinished), "", "jobs that have not ended");
        assertEquals(String.join("; ", simulation.violations()), "");
    }
}
