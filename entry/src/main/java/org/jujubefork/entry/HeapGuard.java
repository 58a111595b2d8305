package org.jujubefork.entry;

import java.util.function.LongSupplier;

/**
 * Notices that the heap stays full. The serial collector then runs one full collection after the
 * other and throws no {@code OutOfMemoryError}, so that the entry neither works nor ends, and its
 * peers take it for alive as long as a heartbeat gets through.
 *
 * @param maxBytes bound of the heap
 * @param usedBytes reads the bytes of the heap that are in use, garbage included
 */
record HeapGuard(long maxBytes, LongSupplier usedBytes) {
    /** Time between two samples in milliseconds. */
    static final long SAMPLE_INTERVAL_MILLIS = 1_000;

    /**
     * Samples in a row that must be full. A heap that works has its lowest use after each
     * collection, so that some sample of a few seconds is below the bound.
     */
    static final int MIN_FULL_SAMPLE_COUNT = 10;

    /** Part of the heap that is in use in a full sample. */
    static final double FULL_FRACTION = 0.93;

    /** Returns the guard of this process. */
    static HeapGuard ofProcess() {
        Runtime runtime = Runtime.getRuntime();
        return new HeapGuard(
                runtime.maxMemory(), () -> runtime.totalMemory() - runtime.freeMemory());
    }

    /** Returns once the heap stays full. */
    void awaitExhaustion() throws InterruptedException {
        for (int full = 0; full < MIN_FULL_SAMPLE_COUNT; ) {
            Thread.sleep(SAMPLE_INTERVAL_MILLIS);
            full = isFull() ? full + 1 : 0;
        }
    }

    /** Returns whether the heap is full now. */
    boolean isFull() {
        return usedBytes.getAsLong() > FULL_FRACTION * maxBytes;
    }
}
