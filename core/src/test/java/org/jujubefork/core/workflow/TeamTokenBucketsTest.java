package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against a team that takes more than its share, or is held to less. */
public final class TeamTokenBucketsTest {
    private static final String TEAM = "t";
    private static final double WEIGHT = 5;

    /** Returns how many of {@code count} jobs, one each {@code gapMillis}, are within the share. */
    private static int within(TeamTokenBuckets shares, int count, long gapMillis) {
        int within = 0;
        TeamTokenBuckets now = shares;
        for (int i = 0; i < count; i++) {
            TeamTokenBuckets.Acquisition taken = now.take(TEAM, WEIGHT, i * gapMillis);
            now = taken.shares();
            within += taken.within() ? 1 : 0;
        }
        return within;
    }

    @Test
    public void steadyUseWithinTheWeightIsNeverBeyond() {
        assertEquals(within(TeamTokenBuckets.NONE, 1_000, 200), 1_000);
    }

    @Test
    public void useBeyondTheWeightIsCut() {
        // 20 s at four times the weight: the weight, and what was saved before.
        int within = within(TeamTokenBuckets.NONE, 400, 50);
        assertTrue(within >= 100 && within <= 112, "within the share: " + within);
    }

    @Test
    public void teamsAreCountedApart() {
        TeamTokenBuckets used = TeamTokenBuckets.NONE;
        for (int i = 0; i < 100; i++) {
            used = used.take(TEAM, WEIGHT, 0).shares();
        }
        assertTrue(!used.take(TEAM, WEIGHT, 0).within(), "an exhausted share");
        assertTrue(used.take("other", WEIGHT, 0).within(), "the share of another team");
        assertTrue(used.take(TEAM, 0, 0).within(), "no weight, no bound");
    }
}
