package review;

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
import java.util.concurrent.Executors;

/** An HTTP server with JSON bodies on a free loopback port. */
final class HttpStandin implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();

    record Request(String path, Map<String, String> query, String instance, JsonNode body) {}

    /** An answer; status 0 means that the connection is closed without an answer. */
    record Answer(int status, ObjectNode body) {
        static Answer of(int status) {
            return new Answer(status, MAPPER.createObjectNode());
        }
    }

    interface Handler {
        Answer handle(Request request) throws InterruptedException;
    }

    private final HttpServer server;

    HttpStandin(Handler handler) throws IOException {
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> serve(handler, exchange));
        server.start();
    }

    private static void serve(Handler handler, HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            JsonNode node = body.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(body);
            String instance = exchange.getRequestHeaders().getFirst("Expect-Instance");
            Answer answer =
                    handler.handle(
                            new Request(
                                    exchange.getRequestURI().getPath(),
                                    query(exchange.getRequestURI().getRawQuery()),
                                    instance == null ? "" : instance,
                                    node));
            if (answer.status() > 0) {
                byte[] bytes = MAPPER.writeValueAsBytes(answer.body());
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length);
                exchange.getResponseBody().write(bytes);
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

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
