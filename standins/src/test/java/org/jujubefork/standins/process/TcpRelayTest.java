package org.jujubefork.standins.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.SplittableRandom;
import org.jujubefork.standins.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a relay that interrupts more or fewer connections than a test asked for. */
public final class TcpRelayTest {
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private ServerSocket echoServer;
    private TcpRelay relay;

    @BeforeMethod
    public void open() throws IOException {
        echoServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::echoAll);
        relay = TcpRelay.start(0, echoServer.getLocalPort());
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        relay.close();
        echoServer.close();
    }

    private void echoAll() {
        while (!echoServer.isClosed()) {
            try {
                Socket socket = echoServer.accept();
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    try (socket) {
                                        InputStream in = socket.getInputStream();
                                        in.transferTo(socket.getOutputStream());
                                    } catch (IOException e) {
                                        // The relay reset the connection.
                                    }
                                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static int roundTrip(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    @Test
    public void bytesPassUnchanged() throws Exception {
        byte[] sent = new byte[1_000_000];
        new SplittableRandom(5).nextBytes(sent);
        try (Socket socket = connect()) {
            Thread writer =
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        try {
                                            OutputStream out = socket.getOutputStream();
                                            out.write(sent);
                                            socket.shutdownOutput();
                                        } catch (IOException e) {
                                            // The comparison of the received bytes reports the
                                            // failure.
                                        }
                                    });
            assertEquals(socket.getInputStream().readAllBytes(), sent);
            writer.join();
        }
    }

    @Test
    public void resetAffectsOnlyExistingConnections() throws Exception {
        try (Socket socket = connect()) {
            assertEquals(roundTrip(socket, 7), 7);
            relay.resetConnections();
            assertThrows(IOException.class, () -> failUnlessReset(socket));
        }
        try (Socket socket = connect()) {
            assertEquals(roundTrip(socket, 8), 8);
        }
    }

    /**
     * Fails unless the first read throws, as after a reset; end of stream would be a normal close.
     */
    private static void failUnlessReset(Socket socket) throws IOException {
        int first = socket.getInputStream().read();
        throw new AssertionError("read " + first + " after a reset");
    }

    @Test
    public void refusalKeepsExistingConnections() throws Exception {
        try (Socket socket = connect()) {
            assertEquals(roundTrip(socket, 1), 1);
            relay.refuseNewConnections();
            assertThrows(IOException.class, () -> connect().close());
            assertEquals(roundTrip(socket, 2), 2);
        }
        relay.acceptNewConnections();
        try (Socket socket = connect()) {
            assertEquals(roundTrip(socket, 3), 3);
        }
    }

    /**
     * Guards against held bytes that arrive before their release or never. Tests of late commands
     * rely on this.
     */
    @Test
    public void heldBytesArriveAfterRelease() throws Exception {
        try (Socket heldSocket = connect()) {
            assertEquals(roundTrip(heldSocket, 1), 1);
            relay.holdClientBytes();
            relay.stopHoldingNewConnections();
            heldSocket.getOutputStream().write(2);
            Await.until("held bytes", () -> relay.heldConnections() == 1);
            try (Socket newSocket = connect()) {
                assertEquals(roundTrip(newSocket, 3), 3);
            }
            assertEquals(heldSocket.getInputStream().available(), 0);
            relay.releaseHeldBytes();
            assertEquals(heldSocket.getInputStream().read(), 2);
        }
    }
}
