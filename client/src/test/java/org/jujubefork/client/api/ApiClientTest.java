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
 * Guards against requests that run twice because of a retry, and against a client that gives up
 * while another entry could answer.
 */
public final class ApiClientTest {
    /** How a simulated entry answers the call with the given number, from 1. */
    @FunctionalInterface
    private interface Answer {
        void send(HttpExchange exchange, int call) throws IOException;
    }

    private final AtomicInteger calls = new AtomicInteger();
    private volatile Answer answer;
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
        answer.send(exchange, calls.incrementAndGet());
    }

    private static void reply(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static void replyOverloaded(HttpExchange exchange) throws IOException {
        ErrorView error =
                ErrorView.of(ErrorCodes.OVERLOADED, "full", Outcome.NOT_RUN).withRetryAfter(20);
        reply(exchange, 429, new String(ApiCodec.encode(error), StandardCharsets.UTF_8));
    }

    private ApiClient client(String... entries) {
        return ApiClient.of(
                new ApiClientSettings(
                        List.of(entries),
                        Optional.of("secret"),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(2)));
    }

    private static String closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    public void theNextEntryIsTriedWhenNoConnectionCanBeMade() throws Exception {
        answer = (exchange, call) -> reply(exchange, 200, "pong");
        try (ApiClient client = client(closedPort(), entry)) {
            assertEquals(client.command("q", "{}", "k1").text(), "pong");
        }
    }

    @Test
    public void withoutAnyConnectionTheOutcomeIsNotRun() throws Exception {
        try (ApiClient client = client(closedPort())) {
            NotReachableException failure =
                    expectThrows(NotReachableException.class, () -> client.lookup("q", "{}"));
            assertEquals(failure.outcome(), Outcome.NOT_RUN);
        }
    }

    @Test
    public void aBrokenConnectionLeavesTheOutcomeOfAnUnkeyedJobUnknown() throws Exception {
        answer = (exchange, call) -> exchange.close();
        JobRequest job = new JobRequest("q", "", 1, Optional.empty(), "", Optional.empty());
        try (ApiClient client = client(entry)) {
            NotReachableException failure =
                    expectThrows(NotReachableException.class, () -> client.submit(job));
            assertEquals(failure.outcome(), Outcome.UNKNOWN);
        }
        assertEquals(calls.get(), 1);
    }

    @Test
    public void aCommandIsRepeatedUnderTheSameKey() throws Exception {
        answer =
                (exchange, call) -> {
                    if (call == 1) {
                        exchange.close();
                    } else {
                        reply(
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
    public void anOverloadedEntryIsAskedAgainAfterTheNamedTime() throws Exception {
        answer =
                (exchange, call) -> {
                    if (call < 3) {
                        replyOverloaded(exchange);
                    } else {
                        reply(exchange, 200, "done");
                    }
                };
        try (ApiClient client = client(entry)) {
            assertEquals(client.lookup("q", "{}").text(), "done");
        }
        assertEquals(calls.get(), 3);
    }

    /** A caller that took this refusal for "not run" would send the command a second time. */
    @Test
    public void aRefusalAfterABrokenConnectionLeavesTheOutcomeUnknown() throws Exception {
        answer =
                (exchange, call) -> {
                    if (call == 1) {
                        exchange.close();
                    } else {
                        ErrorView error = ErrorView.of(ErrorCodes.FORBIDDEN, "no", Outcome.NOT_RUN);
                        reply(
                                exchange,
                                403,
                                new String(ApiCodec.encode(error), StandardCharsets.UTF_8));
                    }
                };
        try (ApiClient client = client(entry)) {
            ApiException refused =
                    expectThrows(ApiException.class, () -> client.command("q", "{}", "k1"));
            assertEquals(refused.error().outcome(), "unknown");
            ApiException first =
                    expectThrows(ApiException.class, () -> client.command("q", "{}", "k2"));
            assertEquals(first.error().outcome(), "not-run");
        }
    }

    /** Without the budget, 30 calls would be sent many times each to an overloaded cell. */
    @Test
    public void retriesStayWithinTheBudget() throws Exception {
        answer = (exchange, call) -> replyOverloaded(exchange);
        try (ApiClient client = client(entry)) {
            for (int i = 0; i < 30; i++) {
                ApiException refused =
                        expectThrows(ApiException.class, () -> client.lookup("q", "{}"));
                assertEquals(refused.status(), 429);
            }
        }
        assertTrue(calls.get() <= 30 + 10 + 3, "calls " + calls.get());
    }

    @Test
    public void aRefusalCarriesTheErrorOfTheEntry() throws Exception {
        ErrorView error =
                ErrorView.of(ErrorCodes.VERSION_CONFLICT, "version is 5", Outcome.NOT_RUN);
        answer =
                (exchange, call) ->
                        reply(
                                exchange,
                                409,
                                new String(ApiCodec.encode(error), StandardCharsets.UTF_8));
        try (ApiClient client = client(entry)) {
            ApiException refused =
                    expectThrows(
                            ApiException.class,
                            () -> client.apply(new ConfigApply(4, "{}", java.util.Map.of())));
            assertEquals(refused.error(), error);
        }
        answer = (exchange, call) -> reply(exchange, 500, "<html>");
        try (ApiClient client = client(entry)) {
            ApiException refused = expectThrows(ApiException.class, client::status);
            assertEquals(refused.error().outcome(), "unknown");
        }
    }
}
