package org.jujubefork.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Guards against an entry that hangs with a full heap, and against needless exits. */
public final class HeapGuardTest {
    private static final long MAX_BYTES = 1_000;

    @Test
    public void heapIsFullOnlyAboveThreshold() {
        AtomicLong used = new AtomicLong();
        HeapGuard guard = new HeapGuard(MAX_BYTES, used::get);
        for (long bytes = 0; bytes <= MAX_BYTES; bytes++) {
            used.set(bytes);
            assertEquals(guard.isFull(), bytes > 930, bytes + " of " + MAX_BYTES);
        }
    }

    /** A collection that frees memory must reset the count of full samples. */
    @Test
    public void onlyConsecutiveFullSamplesCount() throws InterruptedException {
        AtomicLong samples = new AtomicLong();
        HeapGuard guard =
                new HeapGuard(
                        MAX_BYTES,
                        () -> samples.incrementAndGet() == 3 ? MAX_BYTES / 2 : MAX_BYTES);
        guard.awaitExhaustion();
        assertEquals(samples.get(), 3 + HeapGuard.MIN_FULL_SAMPLE_COUNT);
    }

    @Test
    public void heapOfThisProcessIsMeasured() {
        HeapGuard guard = HeapGuard.ofProcess();
        assertTrue(guard.usedBytes().getAsLong() > 0);
        assertTrue(guard.usedBytes().getAsLong() <= guard.maxBytes());
    }
}
