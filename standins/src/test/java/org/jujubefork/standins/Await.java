package org.jujubefork.standins;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions. */
public final class Await {
    /** Longest wait in tests; far above what a slow machine needs. */
    public static final Duration LIMIT = Duration.ofSeconds(30);

    private static final long PAUSE_MILLIS = 5;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @throws AssertionError if it does not hold within {@link #LIMIT}
     */
    public static void until(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + LIMIT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError(what + " did not happen within " + LIMIT);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
