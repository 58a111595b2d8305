package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.jujubefork.core.workflow.RetryDelay.Rejection;
import org.testng.annotations.Test;

/** Guards against rejected callers that all return at the same time and are rejected again. */
public final class SpreadRetryTest {
    private static long retryAfter(long waitMillis, long shareMillis, int priority, String job) {
        return SpreadRetry.retryAfterMillis(new Rejection(waitMillis, shareMillis, priority, job));
    }

    @Test
    public void returnsAreSpreadEvenly() {
        int[] counts = new int[4];
        for (int i = 0; i < 4_000; i++) {
            long offset = retryAfter(0, 0, 0, String.format("job-%06d", i)) - 1_000;
            counts[(int) Math.min(3, offset * 4 / SpreadRetry.SPREAD_MILLIS)]++;
        }
        for (int count : counts) {
            assertTrue(count > 800, "a quarter of the period has only " + count + " of 4000");
        }
    }

    /** Guards against an answer that changes when a request is repeated or another entry leads. */
    @Test
    public void sameJobGetsTheSameAnswer() {
        assertEquals(retryAfter(1_500, 0, 1, "a"), retryAfter(1_500, 0, 1, "a"));
    }

    @Test
    public void mostUrgentReturnFirst() {
        for (int i = 0; i < 100; i++) {
            assertTrue(retryAfter(1_500, 0, 0, "j" + i) < retryAfter(1_500, 0, 1, "j" + i));
        }
    }

    /** Guards against a team that returns before its share allows another job. */
    @Test
    public void returnWaitsForTheShare() {
        assertTrue(retryAfter(0, 4_000, 0, "a") >= 4_000);
    }

    @Test
    public void boundsHoldForEachInput() {
        Random random = new Random(5);
        for (int i = 0; i < 10_000; i++) {
            long millis =
                    retryAfter(
                            random.nextLong(1_000_000),
                            random.nextLong(1_000_000),
                            random.nextInt(),
                            "j" + i);
            assertTrue(millis >= 1_000 && millis <= 10_000, "out of bounds: " + millis);
        }
    }
}
