package org.jujubefork.entry.http;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.jboss.logging.Logger;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.model.Outcome;

/** The HTTP server of an entry: Grizzly threads take requests, virtual threads handle them. */
public final class HttpFrontEnd implements AutoCloseable {
    private static final Logger log = Logger.getLogger(HttpFrontEnd.class);
    private static final int SELECTOR_THREADS = 1;
    private static final int WORKER_THREADS = 4;
    private static final Duration GRACE = Duration.ofSeconds(5);

    /**
     * Time between the refusal of a body and the end of its connection. Closing at once would reset
     * the connection, and a caller that still sends would not see the response.
     */
    private static final Duration REFUSAL_LINGER = Duration.ofSeconds(1);

    private final HttpServer server;
    private final ExecutorService executor;
    private final AtomicBoolean stopping;
    private final OpenRequestCounter open;

    private HttpFrontEnd(
            HttpServer server,
            ExecutorService executor,
            AtomicBoolean stopping,
            OpenRequestCounter open) {
        this.server = server;
        this.executor = executor;
        this.stopping = stopping;
        this.open = open;
    }

    /**
     * Starts to serve {@code routes}.
     *
     * @throws IOException if the address cannot be bound
     */
    public static HttpFrontEnd start(HostPort address, List<Route> routes) throws IOException {
        List<Route> known = List.copyOf(routes);
        return start(address, (exchange, path) -> dispatch(known, exchange));
    }

    /**
     * Starts to serve all requests by {@code endpoint}, which gets their paths as they were sent.
     *
     * @throws IOException if the address cannot be bound
     */
    public static HttpFrontEnd start(HostPort address, Endpoint endpoint) throws IOException {
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        AtomicBoolean stopping = new AtomicBoolean();
        OpenRequestCounter open = new OpenRequestCounter();
        HttpServer server = new HttpServer();
        NetworkListener listener = new NetworkListener("callers", address.host(), address.port());
        listener.getTransport().setSelectorRunnersCount(SELECTOR_THREADS);
        listener.getTransport()
                .setWorkerThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("http")
                                .setCorePoolSize(WORKER_THREADS)
                                .setMaxPoolSize(WORKER_THREADS));
        listener.getFileCache().setEnabled(false);
        // By default the server ends a connection after 256 requests, while callers still use it.
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.registerAddOn(new IgnoreUpgradeAddOn());
        server.addListener(listener);
        // By default a GET or DELETE with a body is answered with 400, and its connection ends.
        server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
        server.getServerConfiguration()
                .addHttpHandler(new Dispatcher(endpoint, executor, stopping, open), "/");
        try {
            server.start();
        } catch (BindException e) {
            throw new BindException("httpAddress " + address + ": " + e.getMessage());
        }
        return new HttpFrontEnd(server, executor, stopping, open);
    }

    /**
     * Ends each connection with its next response. A caller that kept a connection open could
     * otherwise send a request into it just when the server closes it, and get no response.
     */
    public void closeConnectionsAfterResponse() {
        stopping.set(true);
    }

    /** Stops as {@link #close(Duration)} does, with a bound of 5 s. */
    @Override
    public void close() {
        close(GRACE);
    }

    /**
     * Stops to accept connections and ends as soon as the responses to all requests are sent, after
     * {@code bound} at the latest.
     */
    public void close(Duration bound) {
        // Grizzly's own shutdown waits for requests whose connection was aborted, because it never
        // takes them off its count.
        closeConnectionsAfterResponse();
        server.getListeners().forEach(listener -> listener.getTransport().unbindAll());
        try {
            if (!open.awaitZero(bound)) {
                log.warnf("event=http-stop-incomplete open_requests=%d", open.count());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.shutdownNow();
        executor.shutdownNow();
    }

    private static void dispatch(List<Route> routes, Exchange exchange)
            throws IOException, InterruptedException, BodyException {
        if (!exchange.hasValidPath()) {
            exchange.sendError(
                    400,
                    ErrorView.of(
                            ErrorCodes.INVALID_REQUEST,
                            "the path has a malformed escape: " + exchange.rawPath(),
                            Outcome.NOT_RUN));
            return;
        }
        for (Route route : routes) {
            Optional<String> variable = route.match(exchange.path());
            if (variable.isPresent() && route.method().equals(exchange.method())) {
                route.endpoint().handle(exchange, variable.get());
                return;
            }
        }
        exchange.sendError(
                404,
                ErrorView.of(
                        ErrorCodes.NOT_FOUND,
                        "no such path: " + exchange.method() + " " + exchange.path(),
                        Outcome.NOT_RUN));
    }

    /** Handles a request on a virtual thread. */
    private static final class Dispatcher extends HttpHandler {
        private final Endpoint endpoint;
        private final ExecutorService executor;
        private final AtomicBoolean stopping;
        private final OpenRequestCounter open;

        Dispatcher(
                Endpoint endpoint,
                ExecutorService executor,
                AtomicBoolean stopping,
                OpenRequestCounter open) {
            this.endpoint = endpoint;
            this.executor = executor;
            this.stopping = stopping;
            this.open = open;
        }

        @Override
        public void service(Request request, Response response) {
            open.add(request);
            response.suspend();
            if (stopping.get()) {
                response.setHeader("Connection", "close");
            }
            executor.execute(() -> handle(new Exchange(request, response)));
        }

        private void handle(Exchange exchange) {
            try {
                endpoint.handle(exchange, exchange.rawPath());
            } catch (BodyException e) {
                refuseBody(exchange, e);
            } catch (IOException e) {
                log.debugf("event=http-connection-lost reason=\"%s\"", e.getMessage());
                exchange.abort();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                exchange.abort();
            } catch (RuntimeException e) {
                log.errorf(e, "event=http-failure path=%s", exchange.rawPath());
                exchange.abort();
            } finally {
                if (exchange.response().isSuspended()) {
                    exchange.response().resume();
                }
            }
        }

        private void refuseBody(Exchange exchange, BodyException e) {
            try {
                String code = e.isTooLarge() ? ErrorCodes.TOO_LARGE : ErrorCodes.INVALID_REQUEST;
                exchange.setHeader("Connection", "close");
                exchange.sendError(
                        e.isTooLarge() ? 413 : 400,
                        ErrorView.of(code, e.getMessage(), Outcome.NOT_RUN));
                // The request is recycled after its response; its connection is not.
                Connection<?> connection = exchange.connection();
                executor.execute(() -> closeLater(connection));
            } catch (IOException lost) {
                exchange.abort();
            }
        }

        private static void closeLater(Connection<?> connection) {
            try {
                Thread.sleep(REFUSAL_LINGER);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            connection.closeSilently();
        }
    }
}
