package org.jujubefork.standins.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.jujubefork.standins.Ports;

/**
 * An HTTP server with one primary port and any number of further ports, which share its selector
 * threads, so that one process can stand in for a thousand workers.
 */
public final class StandinServer implements AutoCloseable {
    public static final String HOST = "127.0.0.1";

    private static final int NOT_MODIFIED = 304;

    /** Above the clients' keep-alive time, so that the server does not close idle connections. */
    private static final int KEEP_ALIVE_SECONDS = 120;

    // JUL holds loggers weakly; the reference keeps the level.
    private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

    static {
        GRIZZLY_LOGGER.setLevel(Level.WARNING);
    }

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<Integer, Connection<?>> bound = new ConcurrentHashMap<>();
    private final Map<Connection<?>, Integer> connections = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> connectionLimits = new ConcurrentHashMap<>();

    private StandinServer(int port) {
        listener = new NetworkListener("standin", HOST, port);
        listener.getKeepAlive().setIdleTimeoutInSeconds(KEEP_ALIVE_SECONDS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getTransport().getConnectionMonitoringConfig().addProbes(new PortProbe());
        server.addListener(listener);
    }

    /** Starts a server at a port of the loopback interface; 0 takes a free port. */
    public static StandinServer start(int port, Handler handler) throws IOException {
        StandinServer result = new StandinServer(port);
        result.server.getServerConfiguration().addHttpHandler(result.adapt(handler), "/");
        result.server.start();
        return result;
    }

    public int port() {
        return listener.getPort();
    }

    /** Opens a further port with a limit of concurrent connections; returns the port. */
    public int bind(int port, int maxConnections) throws IOException {
        Connection<?> connection = listener.getTransport().bind(HOST, port);
        int actual = ((InetSocketAddress) connection.getLocalAddress()).getPort();
        bound.put(actual, connection);
        connectionLimits.put(actual, maxConnections);
        return actual;
    }

    /** Closes a further port and all connections to it; returns when connects are refused. */
    public void cut(int port) throws IOException {
        Connection<?> connection = bound.remove(port);
        if (connection != null) {
            listener.getTransport().unbind(connection);
            Ports.awaitRefused(port);
        }
        connections.forEach(
                (c, p) -> {
                    if (p == port) {
                        c.terminateSilently();
                    }
                });
    }

    /** Opens a port again after {@link #cut}. */
    public void restore(int port) throws IOException {
        if (!bound.containsKey(port)) {
            Ports.bindAgain(() -> bind(port, connectionLimits.get(port)));
        }
    }

    public int openConnections(int port) {
        return (int) connections.values().stream().filter(p -> p == port).count();
    }

    @Override
    public void close() {
        server.shutdownNow();
        executor.shutdownNow();
    }

    private HttpHandler adapt(Handler handler) {
        HttpHandler result =
                new HttpHandler() {
                    @Override
                    public void service(Request request, Response response) {
                        response.suspend();
                        executor.execute(() -> run(handler, request, response));
                    }
                };
        result.setAllowEncodedSlash(true);
        return result;
    }

    private static void run(Handler handler, Request request, Response response) {
        try {
            answer(handler, request, response);
            response.resume();
        } catch (IOException | RuntimeException e) {
            // The caller closed the connection, or the handler failed; neither has an answer.
            request.getContext().getConnection().terminateSilently();
        }
    }

    private static void answer(Handler handler, Request request, Response response)
            throws IOException {
        Call call =
                new Call(
                        request.getMethod().getMethodString(),
                        request.getRequestURI(),
                        Call.parseQuery(request.getQueryString()),
                        Objects.requireNonNullElse(request.getHeader("If-None-Match"), ""),
                        request.getInputStream().readAllBytes(),
                        request.getLocalPort());
        switch (reply(handler, call)) {
            case Reply.Drop d -> request.getContext().getConnection().terminateSilently();
            case Reply.Body body -> {
                response.setStatus(body.status());
                body.headers().forEach(response::setHeader);
                // An answer 304 has no body and no fields that describe one.
                if (body.status() != NOT_MODIFIED) {
                    response.setContentType(body.type());
                    response.setContentLength(body.bytes().length);
                    response.getOutputStream().write(body.bytes());
                }
            }
            case Reply.Stream stream -> {
                response.setContentType(stream.type());
                stream.writer().write(response.getOutputStream());
            }
        }
    }

    private static Reply reply(Handler handler, Call call) {
        try {
            return handler.handle(call);
        } catch (IllegalArgumentException e) {
            return Reply.error(400, "INVALID", String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply.Drop();
        }
    }

    /** Keeps the open connections of each port and closes those above the limit. */
    private final class PortProbe extends ConnectionProbe.Adapter {
        @Override
        @SuppressWarnings("rawtypes")
        public void onAcceptEvent(Connection serverConnection, Connection clientConnection) {
            int port = ((InetSocketAddress) serverConnection.getLocalAddress()).getPort();
            connections.put(clientConnection, port);
            Integer limit = connectionLimits.get(port);
            if (limit != null && (openConnections(port) > limit || !bound.containsKey(port))) {
                clientConnection.terminateSilently();
            }
        }

        @Override
        @SuppressWarnings("rawtypes")
        public void onCloseEvent(Connection connection) {
            connections.remove(connection);
        }
    }
}
