package org.jujubefork.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.model.EntryId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against connections that are served although they violate the protocol, and leaked links.
 */
public final class PeerTransportTest {
    private static final long WAIT_MILLIS = 5_000;
    private static final PeerMessage.Hello HELLO =
            new PeerMessage.Hello(EntryId.of("e2", 1), "127.0.0.1:9");

    private final BlockingQueue<Frame> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerMessage.Hello> disconnectedSenders =
            new LinkedBlockingQueue<>();
    private PeerTransport transport;
    private int port;

    /** Returns a port that was free just now; another process may still bind it first. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @BeforeMethod
    public void start() throws IOException {
        received.clear();
        disconnectedSenders.clear();
        port = freePort();
        PeerTransport.Receiver receiver =
                new PeerTransport.Receiver() {
                    @Override
                    public void receive(PeerMessage.Hello sender, Frame frame) {
                        received.add(frame);
                    }

                    @Override
                    public void senderDisconnected(PeerMessage.Hello sender) {
                        disconnectedSenders.add(sender);
                    }
                };
        transport =
                PeerTransport.start(
                        HostPort.parse("127.0.0.1:" + port),
                        new PeerMessage.Hello(EntryId.of("e1", 1), "127.0.0.1:" + port),
                        receiver,
                        address -> {},
                        (address, purpose, bytes) -> {});
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        transport.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) WAIT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, byte[] frame) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(frame.length);
        output.write(frame);
        output.flush();
    }

    private static void send(Socket socket, PeerMessage message) throws IOException {
        send(socket, FrameCodec.encode(Frame.of(message)));
    }

    /** Returns the text of the protocol error, after which the connection must be closed. */
    private static String readProtocolError(Socket socket) throws IOException, ProtocolException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        byte[] bytes = new byte[input.readInt()];
        input.readFully(bytes);
        Frame frame = FrameCodec.decode(bytes);
        assertEquals(input.read(), -1, "the connection stayed open");
        return ((PeerMessage.ProtocolError) frame.message()).text();
    }

    private static void assertClosed(Socket socket) {
        try {
            assertEquals(socket.getInputStream().read(), -1);
        } catch (java.net.SocketTimeoutException e) {
            throw new AssertionError("the connection stayed open", e);
        } catch (IOException e) {
            assertNotNull(e); // a reset closes the connection as well
        }
    }

    @Test
    public void anotherVersionIsAnsweredWithBothVersions() throws Exception {
        try (Socket socket = connect()) {
            byte[] hello = FrameCodec.encode(Frame.of(HELLO));
            hello[0] = 77;
            send(socket, hello);
            String text = readProtocolError(socket);
            assertTrue(text.contains("77") && text.contains("" + Frame.PROTOCOL_VERSION), text);
        }
    }

    @Test
    public void aFrameOverTheLimitIsRejected() throws Exception {
        try (Socket socket = connect()) {
            new DataOutputStream(socket.getOutputStream()).writeInt(Frame.MAX_BYTES + 1);
            assertTrue(readProtocolError(socket).contains("" + Frame.MAX_BYTES));
        }
    }

    @Test
    public void aNegativeLengthIsRejected() throws Exception {
        try (Socket socket = connect()) {
            new DataOutputStream(socket.getOutputStream()).writeInt(-1);
            assertTrue(readProtocolError(socket).contains("-1"));
        }
    }

    @Test
    public void aSenderWithoutHelloIsRejected() throws Exception {
        try (Socket socket = connect()) {
            send(socket, new PeerMessage.Probe(1));
            assertClosed(socket);
            assertTrue(received.isEmpty());
        }
    }

    @Test
    public void framesThatArriveInPiecesAreReceivedInOrder() throws Exception {
        try (Socket socket = connect()) {
            send(socket, HELLO);
            byte[] probe = FrameCodec.encode(Frame.of(new PeerMessage.Probe(1)));
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            output.writeInt(probe.length);
            output.write(probe, 0, 3);
            output.flush();
            Thread.sleep(20);
            output.write(probe, 3, probe.length - 3);
            send(socket, new PeerMessage.Probe(2));
            assertEquals(nextFrame().message(), new PeerMessage.Probe(1));
            assertEquals(nextFrame().message(), new PeerMessage.Probe(2));
        }
    }

    private Frame nextFrame() throws InterruptedException {
        Frame frame = received.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertNotNull(frame, "no frame within " + WAIT_MILLIS + " ms");
        return frame;
    }

    @Test
    public void aClosedConnectionIsReportedWithItsSender() throws Exception {
        try (Socket socket = connect()) {
            send(socket, HELLO);
            send(socket, new PeerMessage.Probe(1));
            nextFrame();
        }
        assertEquals(disconnectedSenders.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS), HELLO);
    }

    @Test
    public void idleLinksWithoutConnectionAreRemoved() throws Exception {
        int senderPort = freePort();
        try (PeerTransport sender =
                PeerTransport.start(
                        HostPort.parse("127.0.0.1:" + senderPort),
                        HELLO,
                        (from, frame) -> {},
                        address -> {},
                        (address, purpose, bytes) -> {},
                        Duration.ofMillis(50))) {
            sender.offer("127.0.0.1:" + port, probeBatch());
            sender.offer("127.0.0.1:" + freePort(), probeBatch());
            assertEquals(sender.linkCount(), 2);
            nextFrame();
            awaitLinks(sender, 1);
            transport.close();
            awaitLinks(sender, 0);
        }
    }

    private static PeerLink.FrameBatch probeBatch() {
        return new PeerLink.FrameBatch(List.of(Frame.of(new PeerMessage.Probe(1))), sent -> {});
    }

    private static void awaitLinks(PeerTransport transport, int links) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (transport.linkCount() != links) {
            assertTrue(System.nanoTime() < deadline, transport.linkCount() + " links");
            Thread.sleep(10);
        }
    }
}
