package org.jujubefork.entry;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.jujubefork.config.settings.DaemonSettingsReader;
import org.testng.annotations.Test;

/** Guards against a planned stop that takes longer than the drain timeout of the settings. */
public final class DaemonStopTest {
    private static final long DRAIN_TIMEOUT_MILLIS = 2_000;

    /** Additional time for closing connections and threads on a busy machine. */
    private static final long CLOSE_MARGIN_MILLIS = 1_500;

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    public void stopWithoutStoreEndsWithinDrainTimeout() throws Exception {
        int httpPort = freePort();
        String settings =
                """
                {"name": "e1", "region": "r", "zone": "z",
                 "httpAddress": "127.0.0.1:%d", "peerAddress": "127.0.0.1:%d",
                 "storeAddress": "127.0.0.1:1", "vmListAddress": "127.0.0.1:1",
                 "seeds": [], "drainTimeoutMillis": %d}
                """
                        .formatted(httpPort, freePort(), DRAIN_TIMEOUT_MILLIS);
        Daemon daemon = Daemon.start(DaemonSettingsReader.parse("e1.jsonc", settings));
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), httpPort)) {
            // The missing rest of the body keeps the request open.
            String head = "POST /v1/queues/q/requests HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n";
            caller.getOutputStream().write((head + "\r\n{").getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(500);
            long start = System.nanoTime();
            daemon.close();
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(
                    millis < DRAIN_TIMEOUT_MILLIS + CLOSE_MARGIN_MILLIS,
                    "the stop took " + millis + " ms");
        }
    }
}
