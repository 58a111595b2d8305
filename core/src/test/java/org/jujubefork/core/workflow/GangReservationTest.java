package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against starvation of a wide gang: small tasks keep arriving and occupy capacity as soon
 * as it becomes free, so that there is never enough free capacity for the gang.
 */
public final class GangReservationTest {
    private static final int WORKER_COUNT = 6;
    private static final long SMALL_TASK_INTERVAL_MILLIS = 33;
    private static final long MAX_GANG_START_MILLIS = 4_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    private static WorkflowDefinition job(int count, int cores, boolean isGang) {
        Resources size = Resources.of(cores * 1_000L, 1_000, 0);
        return TestSteps.job(TestSteps.step(count, size, 5_000, List.of(), isGang));
    }

    @Test(dataProvider = "seeds")
    public void gangStartsWhileSmallTasksKeepArriving(long seed) {
        Simulation simulation =
                new Simulation(
                        seed, 1, WORKER_COUNT, Simulation.configuration(Resources.of(0, 0, 0)));
        simulation.faultsDisabled = true;
        simulation.run(3_000);
        for (int i = 0; i < 400; i++) {
            String id = String.format("%016x", i);
            simulation.after(
                    i * SMALL_TASK_INTERVAL_MILLIS,
                    () -> simulation.callers.submit(id, job(1, 3, false)));
        }
        String gangJob = String.format("%016x", 1_000);
        simulation.after(4_000, () -> simulation.callers.submit(gangJob, job(5, 8, true)));
        simulation.run(4_000 + MAX_GANG_START_MILLIS);
        Job job = simulation.leading().orElseThrow().state.jobs().get(gangJob);
        boolean started = job == null || job.hasStarted();
        assertEquals(started, true, "the gang has started within " + MAX_GANG_START_MILLIS + " ms");
        assertEquals(String.join("; ", simulation.violations()), "");
    }
}
