package org.jujubefork.entry.control;

/** Ends threads. */
public final class Threads {
    private Threads() {}

    /** Interrupts {@code thread} and waits for its end. */
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
