package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server with JSON bodies on a loopback address. */
public final class Http implements AutoCloseable {
    public static final ObjectMapper MAPPER = new ObjectMapper();

    /** A call of a client. */
    public record Request(String path, Map<String, String> query, Map<String, String> headers, JsonNode body) {}

    /** An answer; a status of 0 means that the connection is closed without one. */
    public record Answer(int status, ObjectNode body) {
        public static Answer of(int status) {
            return new Answer(status, MAPPER.createObjectNode());
        }
    }

    /** Answers calls. */
    @FunctionalInterface
    public interface Handler {
        Answer handle(Request request) throws InterruptedException;
    }

    private final HttpServer server;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    /** Starts a server; port 0 takes a free one. */
    public Http(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        server.setExecutor(executor);
        server.createContext("/", exchange -> serve(handler, exchange));
        server.start();
    }

    private static void serve(Handler handler, HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        JsonNode body = bytes.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(bytes);
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders().forEach((k, v) -> headers.put(k.toLowerCase(), v.getFirst()));
        try {
            Answer answer =
                    handler.handle(
                            new Request(
                                    exchange.getRequestURI().getPath(),
                                    query(exchange.getRequestURI().getRawQuery()),
                                    headers,
                                    body));
            if (answer.status() > 0) {
                byte[] out = MAPPER.writeValueAsBytes(answer.body());
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), out.length);
                exchange.getResponseBody().write(out);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                result.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    public int port() {
        return server.getAddress().getPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Closes the port and all connections at once. */
    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
