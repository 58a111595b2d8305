package org.jujubefork.client.api;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.core.model.Outcome;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against retries that run a request twice, and against a client that gives up although
 * another entry could respond.
 */
public final class ApiClientTest {
    /** Sends the response of a simulated entry to a call; calls are numbered from 1. */
    @FunctionalInterface
    private interface Responder {
        void respond(HttpExchange exchange, int call) throws IOException;
    }

    private final AtomicInteger calls = new AtomicInteger();
    private volatile Responder responder;
    private HttpServer server;
    private String entry;

    @BeforeMethod
    public void startServer() throws IOException {
        calls.set(0);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
        entry = "127.0.0.1:" + server.getAddress().getPort();
    }

    @AfterMethod
    public void stopServer() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        responder.respond(exchange, calls.incrementAndGet());
    }

    private static void sendResponse(HttpExchange exchange, int status, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static void sendOverloaded(HttpExchange exchange) throws IOException {
        ErrorView error =
                ErrorView.of(ErrorCodes.OVERLOADED, "full", Outcome.NOT_RUN).withRetryAfter(20);
        sendResponse(exchange, 429, new String(ApiCodec.encode(error), StandardCharsets.UTF_8));
    }

    private ApiClient client(String... entries) {
        return ApiClient.of(
                new ApiClientSettings(
                        List.of(entries),
                        Optional.of("secret"),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(2)));
    }

    private static String closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    public void triesNextEntryWhenConnectFails() throws Exception {
        responder = (exchange, call) -> sendResponse(exchange, 200, "pong");
        try (ApiClient client = client(closedAddress(), entry)) {
            assertEquals(client.command("q", "{}", "k1").text(), "pong");
        }
    }

    @Test
    public void outcomeIsNotRunIfNoConnectionWasMade() throws Exception {
        try (ApiClient client = client(closedAddress())) {
            NotReachableException failure =
                    expectThrows(NotReachableException.class, () -> client.lookup("q", "{}"));
            assertEquals(failure.outcome(), Outcome.NOT_RUN);
        }
    }

    @Test
    public void brokenConnectionMakesOutcomeOfUnkeyedJobUnknown() throws Exception {
        responder = (exchange, call) -> exchange.close();
        JobRequest job = new JobRequest("q", "", 1, Optional.empty(), "", Optional.empty());
        try (ApiClient client = client(entry)) {
            NotReachableException failure =
                    expectThrows(NotReachableException.class, () -> client.submit(job));
            assertEquals(failure.outcome(), Outcome.UNKNOWN);
        }
        assertEquals(calls.get(), 1);
    }

    @Test
    public void retriesCommandWithSameIdempotencyKey() throws Exception {
        responder =
                (exchange, call) -> {
                    if (call == 1) {
                        exchange.close();
                    } else {
                        sendResponse(
                                exchange,
                                200,
                                exchange.getRequestHeaders().getFirst("Idempotency-Key")
                                        + exchange.getRequestHeaders().getFirst("Authorization"));
                    }
                };
        try (ApiClient client = client(entry)) {
            assertEquals(client.command("q", "{}", "k1").text(), "k1Bearer secret");
        }
        assertEquals(calls.get(), 2);
    }

    @Test
    public void retriesOverloadedEntryAfterRetryAfter() throws Exception {
        responder =
                (exchange, call) -> {
                    if (call < 3) {
                        sendOverloaded(exchange);
                    } else {
                        sendResponse(exchange, 200, "done");
                    }
                };
        try (ApiClient client = client(entry)) {
            assertEquals(client.lookup("q", "{}").text(), "done");
        }
        assertEquals(calls.get(), 3);
    }

    /**
     * If the rejection of the retry were reported as "not run", the caller could send the command
     * again although the first attempt may have run.
     */
    @Test
    public void outcomeStaysUnknownWhenRetryIsRejected() throws Exception {
        responder =
                (exchange, call) -> {
                    if (call == 1) {
                        exchange.close();
                    } else {
                        ErrorView error = ErrorView.of(ErrorCodes.FORBIDDEN, "no", Outcome.NOT_RUN);
                        sendResponse(
                                exchange,
                                403,
                                new String(ApiCodec.encode(error), StandardCharsets.UTF_8));
                    }
                };
        try (ApiClient client = client(entry)) {
            ApiException rejection =
                    expectThrows(ApiException.class, () -> client.command("q", "{}", "k1"));
            assertEquals(rejection.error().outcome(), "unknown");
            ApiException first =
                    expectThrows(ApiException.class, () -> client.command("q", "{}", "k2"));
            assertEquals(first.error().outcome(), "not-run");
        }
    }

    /**
     * Without the retry budget, each of 30 calls would be retried many times against an overloaded
     * cell.
     */
    @Test
    public void retriesStayWithinBudget() throws Exception {
        responder = (exchange, call) -> sendOverloaded(exchange);
        try (ApiClient client = client(entry)) {
            for (int i = 0; i < 30; i++) {
                ApiException rejection =
                        expectThrows(ApiException.class, () -> client.lookup("q", "{}"));
                assertEquals(rejection.status(), 429);
            }
        }
        assertTrue(calls.get() <= 30 + 10 + 3, "calls " + calls.get());
    }

    @Test
    public void exceptionCarriesErrorOfEntry() throws Exception {
        ErrorView error =
                ErrorView.of(ErrorCodes.VERSION_CONFLICT, "version is 5", Outcome.NOT_RUN);
        responder =
                (exchange, call) ->
                        sendResponse(
                                exchange,
                                409,
                                new String(ApiCodec.encode(error), StandardCharsets.UTF_8));
        try (ApiClient client = client(entry)) {
            ApiException rejection =
                    expectThrows(
                            ApiException.class,
                            () -> client.apply(new ConfigApply(4, "{}", java.util.Map.of())));
            assertEquals(rejection.error(), error);
        }
        responder = (exchange, call) -> sendResponse(exchange, 500, "<html>");
        try (ApiClient client = client(entry)) {
            ApiException rejection = expectThrows(ApiException.class, client::status);
            assertEquals(rejection.error().outcome(), "unknown");
        }
    }
}
