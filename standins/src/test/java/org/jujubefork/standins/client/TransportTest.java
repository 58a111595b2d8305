package org.jujubefork.standins.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.Transport;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a "not connected" that is not proven, which would let a caller be told "not run"
 * about a task that runs, and against requests that are sent twice.
 */
public final class TransportTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final String EMPTY_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private Transport transport;

    @BeforeClass
    public void open() {
        transport = Transport.create(Duration.ofSeconds(10));
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        transport.close();
    }

    @Test
    public void refusedConnectIsNotConnected() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        CallResult result = transport.call(post(Address.of("127.0.0.1", port)), LONG);
        assertTrue(result instanceof CallResult.NotConnected, result.toString());
    }

    /** A server whose backlog is full drops SYN packets, so that no connection comes about. */
    @Test
    public void connectTimeoutIsNotConnected() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Transport impatient = Transport.create(Duration.ofMillis(300))) {
            boolean filled = false;
            for (int i = 0; i < 16 && !filled; i++) {
                filled = !connects(full, fillers);
            }
            assertTrue(filled, "backlog not filled by 16 connections");
            Address address = Address.of("127.0.0.1", full.getLocalPort());
            CallResult result = impatient.call(post(address), LONG);
            assertTrue(result instanceof CallResult.NotConnected, result.toString());
            // The same holds if the limit of the call ends before that of the connect.
            CallResult early = transport.call(post(address), Duration.ofMillis(300));
            assertTrue(early instanceof CallResult.NotConnected, early.toString());
        } finally {
            for (Socket socket : fillers) {
                socket.close();
            }
        }
    }

    private static boolean connects(ServerSocket server, List<Socket> opened) throws IOException {
        Socket socket = new Socket();
        opened.add(socket);
        try {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    200);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    public void resetAfterConnectIsUnknown() throws Exception {
        try (RawServer server =
                new RawServer(
                        (n, socket) -> {
                            socket.setSoLinger(true, 0);
                            socket.close();
                        })) {
            CallResult result = transport.call(post(server.address()), LONG);
            assertTrue(result instanceof CallResult.Unknown, result.toString());
            assertEquals(server.requests(), 1);
        }
    }

    /** The kernel completes the connect of a server that does not accept. */
    @Test
    public void silenceAfterConnectIsUnknown() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            CallResult result =
                    transport.call(
                            post(Address.of("127.0.0.1", silent.getLocalPort())),
                            Duration.ofMillis(300));
            assertTrue(result instanceof CallResult.Unknown u && u.timedOut(), result.toString());
        }
    }

    @DataProvider
    public Object[][] methodsThatWrite() {
        return new Object[][] {{"POST"}, {"PUT"}, {"DELETE"}};
    }

    @Test(dataProvider = "methodsThatWrite")
    public void closedKeepAliveConnectionIsUnknownAndNotResent(String method) throws Exception {
        try (RawServer server = closingServer()) {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(server.address().uri("/"))
                            .method(method, BodyPublishers.noBody());
            assertTrue(transport.call(request, LONG) instanceof CallResult.Response);
            CallResult second = transport.call(request, LONG);
            assertTrue(second instanceof CallResult.Unknown, second.toString());
            assertEquals(server.requests(), 2);
        }
    }

    /** States the one case in which the HTTP client sends twice. */
    @Test
    public void resendsGetOverANewConnection() throws Exception {
        try (RawServer server = closingServer()) {
            HttpRequest.Builder request = HttpRequest.newBuilder(server.address().uri("/")).GET();
            assertTrue(transport.call(request, LONG) instanceof CallResult.Response);
            CallResult second = transport.call(request, LONG);
            assertTrue(second instanceof CallResult.Response, second.toString());
            assertEquals(server.requests(), 3);
        }
    }

    /** Answers all requests but the second, to which it closes the connection. */
    private static RawServer closingServer() throws IOException {
        return new RawServer(
                (n, socket) -> {
                    if (n == 2) {
                        socket.close();
                    } else {
                        RawServer.write(socket, EMPTY_ANSWER);
                    }
                });
    }

    @Test
    public void redirectIsNotFollowed() throws Exception {
        try (RawServer server =
                new RawServer(
                        (n, socket) ->
                                RawServer.write(
                                        socket,
                                        "HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\n"
                                                + "Content-Length: 0\r\n\r\n"))) {
            CallResult result = transport.call(post(server.address()), LONG);
            assertTrue(
                    result instanceof CallResult.Response r && r.status() == 307,
                    result.toString());
            assertEquals(server.requests(), 1);
        }
    }

    @DataProvider
    public Object[][] truncatedAnswers() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Le"},
            {"nonsense\r\n\r\n"}
        };
    }

    @Test(dataProvider = "truncatedAnswers")
    public void truncatedAnswerIsUnknown(String answer) throws Exception {
        try (RawServer server =
                new RawServer(
                        (n, socket) -> {
                            RawServer.write(socket, answer);
                            socket.close();
                        })) {
            CallResult whole = transport.call(post(server.address()), LONG);
            assertTrue(whole instanceof CallResult.Unknown, whole.toString());
            CallResult streamed = transport.stream(post(server.address()), chunk -> {}, LONG);
            assertTrue(streamed instanceof CallResult.Unknown, streamed.toString());
        }
    }

    /** The request timeout of the HTTP client ends with the head; the body needs its own limit. */
    @Test
    public void bodyThatStallsIsUnknown() throws Exception {
        try (RawServer server =
                new RawServer(
                        (n, socket) ->
                                RawServer.write(
                                        socket,
                                        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"))) {
            long start = System.nanoTime();
            CallResult result =
                    transport.stream(post(server.address()), chunk -> {}, Duration.ofMillis(500));
            assertTrue(result instanceof CallResult.Unknown u && u.timedOut(), result.toString());
            assertTrue(System.nanoTime() - start < LONG.toNanos(), "the limit was not kept");
        }
    }

    @Test
    public void failingSinkEndsTheCall() throws Exception {
        try (RawServer server =
                new RawServer(
                        (n, socket) ->
                                RawServer.write(
                                        socket,
                                        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"))) {
            CallResult result =
                    transport.stream(
                            post(server.address()),
                            chunk -> {
                                throw new IOException("caller has gone");
                            },
                            LONG);
            assertTrue(
                    result instanceof CallResult.Unknown u
                            && u.reason().contains("caller has gone"),
                    result.toString());
        }
    }

    @Test
    public void interruptEndsTheCall() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (RawServer server = new RawServer((n, socket) -> arrived.countDown())) {
            List<CallResult> results = new ArrayList<>();
            Thread caller =
                    Thread.ofVirtual()
                            .start(() -> results.add(transport.call(post(server.address()), LONG)));
            arrived.await();
            caller.interrupt();
            caller.join();
            assertTrue(results.get(0) instanceof CallResult.Unknown, results.toString());
        }
    }

    @Test
    public void resendPropertyIsRefused() {
        System.setProperty(Transport.RETRY_ALL_METHODS_PROPERTY, "true");
        try {
            assertThrows(IllegalStateException.class, () -> Transport.create(LONG));
        } finally {
            System.clearProperty(Transport.RETRY_ALL_METHODS_PROPERTY);
        }
    }

    private static HttpRequest.Builder post(Address address) {
        return HttpRequest.newBuilder(address.uri("/")).POST(BodyPublishers.noBody());
    }
}
