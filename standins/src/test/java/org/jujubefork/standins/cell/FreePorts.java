package org.jujubefork.standins.cell;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free loopback ports below the kernel's ephemeral port range, so that no outgoing
 * connection uses a port between its allocation and its use.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 10_000;

    // Depends on the process id, so that test JVMs on one machine rarely try the same ports.
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

    private FreePorts() {}

    /**
     * Returns a port that was free at the time of the call.
     *
     * @throws IOException if no port of the range is free
     */
    public static int next() throws IOException {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException(
                "no free port in " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
