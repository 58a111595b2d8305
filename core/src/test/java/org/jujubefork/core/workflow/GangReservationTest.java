package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The load: small tasks fill the fleet and keep coming, and a wide gang waits for its room. Guards
 * against a gang that starves because each room is taken before it is large enough.
 */
public final class GangReservationTest {
    private static final int WORKERS = 6;
    private static final long SMALL_TASK_GAP_MILLIS = 33;
    private static final long GANG_MILLIS = 4_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    private static WorkflowDefinition job(int count, int cores, boolean gang) {
        Resources size = Resources.of(cores * 1_000L, 1_000, 0);
        return TestSteps.job(TestSteps.step(count, size, 5_000, List.of(), gang));
    }

    @Test(dataProvider = "seeds")
    public void gangStartsThoughSmallTasksKeepComing(long seed) {
        Simulation world =
                new Simulation(seed, 1, WORKERS, Simulation.configuration(Resources.of(0, 0, 0)));
        world.calm = true;
        world.run(3_000);
        for (int i = 0; i < 400; i++) {
            String id = String.format("%016x", i);
            world.at(i * SMALL_TASK_GAP_MILLIS, () -> world.callers.submit(id, job(1, 3, false)));
        }
        String gang = String.format("%016x", 1_000);
        world.at(4_000, () -> world.callers.submit(gang, job(5, 8, true)));
        world.run(4_000 + GANG_MILLIS);
        Job job = world.leading().orElseThrow().state.jobs().get(gang);
        boolean begun = job == null || job.hasBegun();
        assertEquals(begun, true, "the gang has begun within " + GANG_MILLIS + " ms");
        assertEquals(String.join("; ", world.violations()), "");
    }
}
