package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against jobs that wait because of a share although their team keeps to its rate. */
public final class RateShareTest {
    private static final double LARGE_WEIGHT = 50;

    /** A team may submit two jobs at once within its rate. */
    private static final double SMALL_WEIGHT = 1;

    private static WorkflowDefinition job(int cores, long millis) {
        Resources size = Resources.of(cores * 1_000L, 1_000, 0);
        return TestSteps.job(TestSteps.step(1, size, millis, List.of(), false));
    }

    @DataProvider
    public static Object[][] sharesAndStarts() {
        return new Object[][] {{"rate", 3, 0}, {"work", 2, 1}};
    }

    /**
     * Guards against work within the rate that yields because large work of its team runs. The
     * worker has room for one of two jobs; that of the first team was accepted before.
     */
    @Test(dataProvider = "sharesAndStarts")
    public void workWithinTheRateDoesNotYield(String share, int firstStarted, int secondStarted) {
        ShareReplay replay = new ShareReplay(share, 1, LARGE_WEIGHT, LARGE_WEIGHT);
        replay.submit("t0", job(12, 4_000));
        replay.submit("t0", job(4, 1_000));
        replay.advance(200);
        replay.submit("t0", job(4, 1_000));
        replay.submit("t1", job(4, 1_000));
        replay.advance(1_200);
        assertEquals(replay.outcome("t0").started, firstStarted, share);
        assertEquals(replay.outcome("t1").started, secondStarted, share);
    }

    /**
     * Guards against services that fail again and again and take the room before the work of others
     * each time: they have no target to miss, so they yield by the work of their team.
     */
    @Test
    public void servicesYieldByTheWorkOfTheirTeam() {
        ShareReplay replay = new ShareReplay("rate", 1, LARGE_WEIGHT, LARGE_WEIGHT);
        Resources size = Resources.of(4_000, 1_000, 0);
        replay.submit("t0", job(12, 4_000));
        replay.submit("t0", job(4, 1_000));
        replay.advance(200);
        replay.submit("t0", TestSteps.job(TestSteps.service(size)));
        replay.submit("t1", job(4, 1_000));
        replay.advance(1_200);
        assertEquals(replay.outcome("t0").started, 2);
        assertEquals(replay.outcome("t1").started, 1);
    }

    @DataProvider
    public static Object[][] sharesAndStartsBeyondRate() {
        return new Object[][] {{"rate", 3}, {"jobs", 2}};
    }

    /**
     * Guards against accepted work that waits beside free capacity which nobody else needs: 13 of
     * 16 cores are in use, and the third job of the team is beyond its rate.
     */
    @Test(dataProvider = "sharesAndStartsBeyondRate")
    public void workBeyondTheRateUsesTheLastFreeCapacity(String share, int started) {
        ShareReplay replay = new ShareReplay(share, 1, SMALL_WEIGHT, LARGE_WEIGHT);
        replay.submit("t0", job(1, 20_000));
        replay.submit("t0", job(1, 20_000));
        replay.submit("t0", job(1, 20_000));
        replay.submit("t1", job(13, 20_000));
        replay.advance(1_000);
        assertEquals(replay.outcome("t0").started, started, share);
    }

    /** Guards against work beyond the rate that goes before work within the rate of its team. */
    @Test
    public void workBeyondTheRateYields() {
        ShareReplay replay = new ShareReplay("rate", 1, SMALL_WEIGHT, LARGE_WEIGHT);
        for (int i = 0; i < 3; i++) {
            replay.submit("t0", job(8, 1_000));
        }
        replay.submit("t1", job(8, 1_000));
        replay.submit("t1", job(8, 1_000));
        replay.advance(1_400);
        assertEquals(replay.outcome("t0").started, 2);
        assertEquals(replay.outcome("t1").started, 2);
        replay.advance(1_400);
        assertEquals(replay.outcome("t0").started, 3);
    }
}
