package org.jujubefork.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Guards against an entry that hangs with a full heap, and against one that ends without need. */
public final class HeapGuardTest {
    private static final long MAX = 1_000;

    @Test
    public void onlyUseAboveTheBoundIsFull() {
        AtomicLong used = new AtomicLong();
        HeapGuard guard = new HeapGuard(MAX, used::get);
        for (long bytes = 0; bytes <= MAX; bytes++) {
            used.set(bytes);
            assertEquals(guard.isFull(), bytes > 930, bytes + " of " + MAX);
        }
    }

    /** One collection that frees memory starts the count again. */
    @Test
    public void onlySamplesInARowCount() throws InterruptedException {
        AtomicLong samples = new AtomicLong();
        HeapGuard guard = new HeapGuard(MAX, () -> samples.incrementAndGet() == 3 ? MAX / 2 : MAX);
        guard.awaitExhaustion();
        assertEquals(samples.get(), 3 + HeapGuard.MIN_FULL_SAMPLE_COUNT);
    }

    @Test
    public void theHeapOfThisProcessIsMeasured() {
        HeapGuard guard = HeapGuard.ofProcess();
        assertTrue(guard.usedBytes().getAsLong() > 0);
        assertTrue(guard.usedBytes().getAsLong() <= guard.maxBytes());
    }
}
