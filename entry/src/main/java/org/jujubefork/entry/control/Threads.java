package org.jujubefork.entry.control;

/** Utilities for threads. */
public final class Threads {
    private Threads() {}

    /**
     * Interrupts {@code thread} and waits until it has ended. An interrupt of the calling thread
     * does not end the wait, and is restored afterwards.
     */
    public static void interruptAndJoin(Thread thread) {
        thread.interrupt();
        boolean interrupted = false;
        while (thread.isAlive()) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
