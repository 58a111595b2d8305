package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against a token bucket that admits more or fewer jobs than the share of its team. */
public final class TeamTokenBucketsTest {
    private static final String TEAM = "t";
    private static final double WEIGHT = 5;

    /**
     * Returns how many of {@code count} jobs are within the share when one job is submitted every
     * {@code intervalMillis}.
     */
    private static int countWithinShare(TeamTokenBuckets initial, int count, long intervalMillis) {
        int withinShareCount = 0;
        TeamTokenBuckets buckets = initial;
        for (int i = 0; i < count; i++) {
            TeamTokenBuckets.Acquisition acquisition =
                    buckets.tryAcquire(TEAM, WEIGHT, i * intervalMillis);
            buckets = acquisition.updated();
            withinShareCount += acquisition.withinShare() ? 1 : 0;
        }
        return withinShareCount;
    }

    @Test
    public void steadyRateWithinWeightStaysWithinShare() {
        assertEquals(countWithinShare(TeamTokenBuckets.NONE, 1_000, 200), 1_000);
    }

    @Test
    public void rateOverWeightIsLimited() {
        // In 20 s at four times the weight, the refill allows 100 jobs and the initial burst about
        // 10 more.
        int withinShareCount = countWithinShare(TeamTokenBuckets.NONE, 400, 50);
        assertTrue(
                withinShareCount >= 100 && withinShareCount <= 112,
                "jobs within the share: " + withinShareCount);
    }

    @Test
    public void teamsAreCountedSeparately() {
        TeamTokenBuckets used = TeamTokenBuckets.NONE;
        for (int i = 0; i < 100; i++) {
            used = used.tryAcquire(TEAM, WEIGHT, 0).updated();
        }
        assertTrue(!used.tryAcquire(TEAM, WEIGHT, 0).withinShare(), "within an exhausted share");
        assertTrue(
                used.tryAcquire("other", WEIGHT, 0).withinShare(),
                "over the share of another team");
        assertTrue(used.tryAcquire(TEAM, 0, 0).withinShare(), "limited without a weight");
    }
}
