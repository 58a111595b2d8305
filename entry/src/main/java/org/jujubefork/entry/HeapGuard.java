package org.jujubefork.entry;

import java.util.function.LongSupplier;

/**
 * Detects that the heap stays full. In this state the serial collector runs back-to-back full
 * collections without throwing an {@code OutOfMemoryError}: the entry makes no progress but does
 * not exit, and its peers consider it alive as long as some heartbeats get through.
 *
 * @param maxBytes the maximum size of the heap
 * @param usedBytes returns the used bytes of the heap, including garbage
 */
record HeapGuard(long maxBytes, LongSupplier usedBytes) {
    /** Time between two samples of the heap's use. */
    static final long SAMPLE_INTERVAL_MILLIS = 1_000;

    /**
     * Consecutive full samples after which the heap counts as exhausted. The use of a healthy heap
     * drops with each collection, so that within a few seconds some sample is not full.
     */
    static final int MIN_FULL_SAMPLE_COUNT = 10;

    /** Fraction of the maximum heap size above which a sample is full. */
    static final double FULL_FRACTION = 0.93;

    /** Returns a guard for the heap of this process. */
    static HeapGuard ofProcess() {
        Runtime runtime = Runtime.getRuntime();
        return new HeapGuard(
                runtime.maxMemory(), () -> runtime.totalMemory() - runtime.freeMemory());
    }

    /** Blocks until {@link #MIN_FULL_SAMPLE_COUNT} consecutive samples are full. */
    void awaitExhaustion() throws InterruptedException {
        for (int fullSamples = 0; fullSamples < MIN_FULL_SAMPLE_COUNT; ) {
            Thread.sleep(SAMPLE_INTERVAL_MILLIS);
            fullSamples = isFull() ? fullSamples + 1 : 0;
        }
    }

    /** Returns whether the current use of the heap is above {@link #FULL_FRACTION}. */
    boolean isFull() {
        return usedBytes.getAsLong() > FULL_FRACTION * maxBytes;
    }
}
