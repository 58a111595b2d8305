package org.jujubefork.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.glassfish.grizzly.http.Method;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.answers.TaskFailure;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against truncated responses that look complete, and against accepted invalid requests. */
public final class HttpFrontEndTest {
    private static final int WAIT_MILLIS = 10_000;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int MAX_ANSWER_BYTES = 1024 * 1024;
    private static final String PATH = "/v1/queues/q/requests";

    private final RequestRegistry registry = new RequestRegistry();
    private BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private volatile Consumer<AnswerChannel> producer = channel -> {};
    private HttpFrontEnd server;
    private int port;

    @BeforeMethod
    public void start() throws IOException {
        // A handler of the previous test may post its last event after the end of that test.
        BlockingQueue<Event> ownEvents = new LinkedBlockingQueue<>();
        events = ownEvents;
        try (ServerSocket freeSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = freeSocket.getLocalPort();
        }
        EntryId id = EntryId.of("e1", 1);
        EntryIdentity self =
                new EntryIdentity(id, Location.of("r", "z", ""), "127.0.0.1:1", "127.0.0.1:2");
        State state = State.initial(self, Timing.DEFAULT, 0);
        RequestEndpoint endpoint =
                new RequestEndpoint(
                        RequestIdGenerator.of(id),
                        registry,
                        () -> state,
                        () -> 0,
                        event -> post(ownEvents, event),
                        new Random(7),
                        MAX_BODY_BYTES,
                        MAX_ANSWER_BYTES);
        server =
                HttpFrontEnd.start(
                        HostPort.parse("127.0.0.1:" + port),
                        List.of(
                                Route.withVariable(
                                        Method.POST, ApiPaths.QUEUES, "/requests", endpoint)));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
    }

    /** Replaces the control thread: runs the producer for the channel of each request. */
    private void post(BlockingQueue<Event> ownEvents, Event event) {
        ownEvents.add(event);
        if (event instanceof RequestEvent.RequestArrived arrived) {
            AnswerChannel channel = registry.channel(arrived.request()).orElseThrow();
            Thread.startVirtualThread(() -> producer.accept(channel));
        }
    }

    /** Sends {@code request} and returns all bytes received until the connection is closed. */
    private String exchange(String request) throws IOException {
        return exchange(request, false);
    }

    private String exchange(String request, boolean closeOutput) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(WAIT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(request.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
            if (closeOutput) {
                socket.shutdownOutput();
            }
            StringBuilder received = new StringBuilder();
            byte[] buffer = new byte[8192];
            try {
                for (int n = socket.getInputStream().read(buffer);
                        n >= 0;
                        n = socket.getInputStream().read(buffer)) {
                    received.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
                }
            } catch (java.net.SocketException reset) {
                return received.toString(); // the bytes before the reset
            }
            return received.toString();
        }
    }

    private static String head(String path, String... headers) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: e\r\nConnection: close\r\n"
                + String.join("", headers)
                + "\r\n";
    }

    private static String post(String body) {
        return head(PATH, "Content-Length: " + body.length() + "\r\n") + body;
    }

    private static void assertStatus(String response, int status) {
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
    }

    private static void write(AnswerChannel channel, byte[] bytes) {
        try {
            channel.accept(bytes);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void answer(AnswerChannel channel, String text, String type) {
        write(channel, text.getBytes(StandardCharsets.UTF_8));
        channel.finish(type);
        channel.release();
    }

    /** An unlimited number of open requests would exhaust the heap of an entry. */
    @Test
    public void requestAboveLimitIsRejected() throws IOException {
        List<RequestId> open =
                IntStream.range(0, RequestEndpoint.MAX_OPEN_REQUEST_COUNT)
                        .mapToObj(i -> RequestId.of("open-" + i))
                        .toList();
        open.forEach(
                id -> registry.add(id, new byte[0], AnswerChannel.of(false, MAX_ANSWER_BYTES)));
        try {
            String response = exchange(post("{}"));
            assertStatus(response, 429);
            assertTrue(response.contains("Jujube-Outcome: not-run"), response);
            assertTrue(response.contains("Retry-After: 1"), response);
            assertTrue(events.isEmpty(), "the request reached the control thread");
        } finally {
            open.forEach(registry::remove);
        }
        producer = channel -> channel.refuse(AttemptResult.notRun(RefusalReason.KEY_UNKNOWN));
        assertStatus(exchange(post("{}")), 401);
    }

    @Test
    public void completeAnswerReachesCallerInFull() throws IOException {
        producer = channel -> answer(channel, "hello", "text/plain");
        String response = exchange(post("{}"));
        assertStatus(response, 200);
        assertTrue(response.contains("Jujube-Outcome: done"), response);
        assertTrue(response.endsWith("\r\n\r\nhello"), response);
    }

    @Test
    public void chunkedBodyIsRead() throws IOException {
        producer = channel -> answer(channel, "ok", "text/plain");
        String response =
                exchange(
                        head(PATH, "Transfer-Encoding: chunked\r\n")
                                + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertStatus(response, 200);
    }

    @Test
    public void tooLargeBodyIsRejectedByItsContentLength() throws IOException {
        String response =
                exchange(head(PATH, "Content-Length: " + (MAX_BODY_BYTES + 1) + "\r\n"), true);
        assertStatus(response, 413);
        assertTrue(events.isEmpty());
    }

    @Test
    public void tooLargeChunkedBodyIsRejected() throws IOException {
        String chunk = "x".repeat(MAX_BODY_BYTES + 1);
        String response =
                exchange(
                        head(PATH, "Transfer-Encoding: chunked\r\n")
                                + Integer.toHexString(chunk.length())
                                + "\r\n"
                                + chunk
                                + "\r\n0\r\n\r\n");
        assertStatus(response, 413);
        assertTrue(events.isEmpty());
    }

    @Test
    public void truncatedBodyIsNotRun() throws IOException {
        exchange(head(PATH, "Content-Length: 100\r\n") + "{}", true);
        assertTrue(events.isEmpty());
    }

    @Test
    public void unknownAndMalformedPathsAreRejected() throws IOException {
        assertStatus(exchange(head("/v1/other", "Content-Length: 0\r\n")), 404);
        String malformed = exchange(head("/v1/queues/%zz/requests", "Content-Length: 0\r\n"));
        assertStatus(malformed, 400);
    }

    @Test
    public void invalidIdempotencyKeyIsRejected() throws IOException {
        String response =
                exchange(head(PATH, "Content-Length: 0\r\n", "Idempotency-Key: a/../b\r\n"));
        assertStatus(response, 400);
        assertTrue(events.isEmpty());
    }

    @Test
    public void rejectionHasOutcomeAndRetryAfterHeaders() throws IOException {
        producer = channel -> channel.refuse(AttemptResult.notRun(RefusalReason.OVERLOADED, 2_000));
        String response = exchange(post("{}"));
        assertStatus(response, 429);
        assertTrue(response.contains("Jujube-Outcome: not-run"), response);
        assertTrue(response.contains("Retry-After: 2"), response);
    }

    @Test
    public void failedTaskIsCompletedRequestMarkedAsFailed() throws IOException {
        producer =
                channel -> {
                    write(channel, TaskFailure.encodeBody("no such spot"));
                    channel.finish(TaskFailure.MEDIA_TYPE);
                    channel.release();
                };
        String response = exchange(post("{}"));
        assertStatus(response, 200);
        assertTrue(response.contains("Jujube-Outcome: done"), response);
        assertTrue(response.contains("Jujube-Task: failed"), response);
        assertTrue(response.contains("Content-Type: application/json"), response);
        assertTrue(response.contains("no such spot"), response);
    }

    @Test
    public void replayWithoutStoredBodyIsNotAnsweredWithEmptyBody() throws IOException {
        producer = AnswerChannel::answerBodyNotStored;
        String response = exchange(post("{}"));
        assertStatus(response, 409);
        assertTrue(response.contains("Jujube-Outcome: done"), response);
        assertTrue(response.contains("ALREADY_DONE"), response);
    }

    /**
     * Returns whether a client considers {@code response} complete: it ends with a chunk of length
     * 0, or has at least as many bytes as its {@code Content-Length}.
     */
    private static boolean isComplete(String response) {
        int headEnd = response.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return false;
        }
        String head = response.substring(0, headEnd);
        if (head.contains("Transfer-Encoding: chunked")) {
            return response.endsWith("0\r\n\r\n");
        }
        Matcher length = Pattern.compile("Content-Length: (\\d+)").matcher(head);
        // Without a Content-Length, the body ends when the connection is closed.
        return !length.find()
                || response.length() - headEnd - 4 >= Integer.parseInt(length.group(1));
    }

    @Test
    public void brokenStreamedAnswerDoesNotLookComplete() throws IOException {
        producer =
                channel -> {
                    write(channel, new byte[AnswerChannel.MAX_RETRY_BUFFER_BYTES + 1]);
                    channel.refuse(AttemptResult.unknown(RefusalReason.WORKER_CONNECTION_LOST));
                };
        assertFalse(isComplete(exchange(post("{}"))));
    }

    @Test
    public void streamedAnswerResetAfterFirstChunksDoesNotLookComplete() throws IOException {
        producer =
                channel -> {
                    write(channel, new byte[AnswerChannel.MAX_RETRY_BUFFER_BYTES + 1]);
                    write(channel, new byte[AnswerChannel.MAX_RETRY_BUFFER_BYTES * 6]);
                    channel.reset();
                };
        assertFalse(isComplete(exchange(post("{}"))));
    }

    @Test
    public void truncatedAnswerOfKnownLengthDoesNotLookComplete() throws IOException {
        producer =
                channel -> {
                    write(channel, new byte[AnswerChannel.MAX_RETRY_BUFFER_BYTES]);
                    channel.finish("text/plain");
                    channel.offer(new byte[MAX_ANSWER_BYTES], () -> {});
                    channel.release();
                };
        assertFalse(isComplete(exchange(post("{}"))));
    }

    @Test
    public void finishedStreamedAnswerIsComplete() throws IOException {
        producer =
                channel -> {
                    for (int i = 0; i < 10; i++) {
                        write(channel, "x".repeat(60_000).getBytes(StandardCharsets.UTF_8));
                    }
                    channel.finish("text/plain");
                };
        String response = exchange(post("{}"));
        assertTrue(isComplete(response), "the response is incomplete");
        assertEquals(response.chars().filter(c -> c == 'x').count(), 600_000);
    }

    private static String keepAliveHead(String... headers) {
        return "POST " + PATH + " HTTP/1.1\r\nHost: e\r\n" + String.join("", headers) + "\r\n";
    }

    @Test
    public void rejectedBodyClosesConnection() throws IOException {
        String contentLength = "Content-Length: " + 100 * MAX_BODY_BYTES + "\r\n";
        // exchange() returns only when the server closes the connection.
        assertStatus(exchange(keepAliveHead(contentLength)), 413);
        assertStatus(exchange(keepAliveHead(contentLength) + "x".repeat(50 * MAX_BODY_BYTES)), 413);
    }

    @Test
    public void serverWithoutOpenRequestsClosesImmediately() throws IOException {
        producer =
                channel -> {
                    write(channel, new byte[AnswerChannel.MAX_RETRY_BUFFER_BYTES + 1]);
                    channel.refuse(AttemptResult.unknown(RefusalReason.WORKER_CONNECTION_LOST));
                };
        exchange(post("{}")); // the server aborts this connection
        producer = channel -> answer(channel, "hello", "text/plain");
        try (Socket idleConnection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            idleConnection
                    .getOutputStream()
                    .write(
                            (keepAliveHead("Content-Length: 2\r\n") + "{}")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(idleConnection.getInputStream().read() > 0);
            long start = System.nanoTime();
            server.close();
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(millis < 2_000, "closing took " + millis + " ms");
        }
    }

    @Test
    public void closingServerCompletesRequestInProgress() throws Exception {
        producer =
                channel -> {
                    write(channel, "x".repeat(60_000).getBytes(StandardCharsets.UTF_8));
                    sleep(500);
                    answer(channel, "end", "text/plain");
                };
        CompletableFuture<String> response =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return exchange(post("{}"));
                            } catch (IOException e) {
                                throw new java.io.UncheckedIOException(e);
                            }
                        });
        while (events.isEmpty()) {
            sleep(10);
        }
        server.close();
        String received = response.get();
        assertTrue(isComplete(received), "the response is incomplete");
        assertTrue(received.contains("end"), "the response is incomplete");
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
