package review2;

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

/** An HTTP server with JSON bodies on a loopback port. */
final class Server implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** A call. */
    record Request(String method, String path, Map<String, String> query, String instance, JsonNode body) {}

    /** An answer; a status of 0 closes the connection without one. */
    record Answer(int status, ObjectNode body) {
        static Answer of(int status) {
            return new Answer(status, MAPPER.createObjectNode());
        }
    }

    /** Answers calls. */
    interface Handler {
        Answer handle(Request request) throws InterruptedException;
    }

    private final HttpServer server;
    final int port;

    /** Starts a server; port 0 picks a free one. */
    Server(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(Cell.HOST), port), 128);
        this.port = server.getAddress().getPort();
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> serve(handler, exchange));
        server.start();
    }

    private static void serve(Handler handler, HttpExchange exchange) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(bytes);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    String[] pair = part.split("=", 2);
                    query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
                }
            }
            Answer answer =
                    handler.handle(
                            new Request(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query,
                                    exchange.getRequestHeaders().getFirst("Expect-Instance"),
                                    body));
            if (answer.status() > 0) {
                byte[] out = MAPPER.writeValueAsBytes(answer.body());
                exchange.sendResponseHeaders(answer.status(), out.length);
                exchange.getResponseBody().write(out);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            Record.line("stand-in error " + e);
        } finally {
            exchange.close();
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
