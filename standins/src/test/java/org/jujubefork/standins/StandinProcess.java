package org.jujubefork.standins;

import java.util.concurrent.CountDownLatch;

/** What the main classes of the stand-ins share. */
public final class StandinProcess {
    /** Start of the line with which a stand-in reports that it accepts connections. */
    public static final String READY = "ready";

    private StandinProcess() {}

    /** Prints the ready line with the port and waits for the end of the process. */
    @SuppressWarnings("SystemOut") // the line is read by the process that started this one
    public static void runUntilKilled(String name, int port) throws InterruptedException {
        System.out.println(READY + " " + name + " port=" + port);
        System.out.flush();
        new CountDownLatch(1).await();
    }
}
