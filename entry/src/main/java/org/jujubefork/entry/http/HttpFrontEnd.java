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

/** HTTP server. Threads of Grizzly accept requests, and virtual threads handle them. */
public final class HttpFrontEnd implements AutoCloseable {
    private static final Logger log = Logger.getLogger(HttpFrontEnd.class);
    private static final int SELECTOR_THREADS = 1;
    private static final int WORKER_THREADS = 4;
    private static final Duration DEFAULT_CLOSE_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Delay between the rejection of a request body and the close of its connection. An immediate
     * close would reset the connection, and a caller that is still sending would lose the response.
     */
    private static final Duration REJECTION_CLOSE_DELAY = Duration.ofSeconds(1);

    private final HttpServer server;
    private final ExecutorService executor;
    private final AtomicBoolean stopping;
    private final OpenRequestCounter openRequests;

    private HttpFrontEnd(
            HttpServer server,
            ExecutorService executor,
            AtomicBoolean stopping,
            OpenRequestCounter openRequests) {
        this.server = server;
        this.executor = executor;
        this.stopping = stopping;
        this.openRequests = openRequests;
    }

    /**
     * Starts a server that serves {@code routes} and responds with 404 to other requests.
     *
     * @throws IOException if the address cannot be bound
     */
    public static HttpFrontEnd start(HostPort address, List<Route> routes) throws IOException {
        List<Route> routeList = List.copyOf(routes);
        return start(address, (exchange, path) -> dispatch(routeList, exchange));
    }

    /**
     * Starts a server that passes all requests to {@code endpoint}, with their undecoded path.
     *
     * @throws IOException if the address cannot be bound
     */
    public static HttpFrontEnd start(HostPort address, Endpoint endpoint) throws IOException {
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        AtomicBoolean stopping = new AtomicBoolean();
        OpenRequestCounter openRequests = new OpenRequestCounter();
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
        // The default closes a connection after 256 requests, while callers still use it.
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.registerAddOn(new IgnoreUpgradeAddOn());
        server.addListener(listener);
        // The default responds with 400 to a GET or DELETE with a body, and closes its connection.
        server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
        server.getServerConfiguration()
                .addHttpHandler(new Dispatcher(endpoint, executor, stopping, openRequests), "/");
        try {
            server.start();
        } catch (BindException e) {
            throw new BindException("httpAddress " + address + ": " + e.getMessage());
        }
        return new HttpFrontEnd(server, executor, stopping, openRequests);
    }

    /**
     * Closes each connection after its next response. Otherwise a caller could send a request on a
     * kept-alive connection while the server closes it, and get no response.
     */
    public void closeConnectionsAfterResponse() {
        stopping.set(true);
    }

    /** Closes the server as {@link #close(Duration)} does, with a time-out of 5 s. */
    @Override
    public void close() {
        close(DEFAULT_CLOSE_TIMEOUT);
    }

    /**
     * Stops accepting connections, and waits at most {@code timeout} until the responses to all
     * requests are sent.
     *
     * @return false if {@code timeout} elapsed first
     */
    public boolean drain(Duration timeout) {
        // Grizzly's graceful shutdown would also wait for requests whose connection was aborted,
        // because it never removes them from its count.
        closeConnectionsAfterResponse();
        server.getListeners().forEach(listener -> listener.getTransport().unbindAll());
        try {
            return openRequests.awaitZero(timeout);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Drains the server as {@link #drain(Duration)} does, and closes all connections. */
    public void close(Duration timeout) {
        if (!drain(timeout)) {
            log.warnf("event=http-stop-incomplete open_requests=%d", openRequests.count());
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

    /** Passes each request from a Grizzly thread to a virtual thread. */
    private static final class Dispatcher extends HttpHandler {
        private final Endpoint endpoint;
        private final ExecutorService executor;
        private final AtomicBoolean stopping;
        private final OpenRequestCounter openRequests;

        Dispatcher(
                Endpoint endpoint,
                ExecutorService executor,
                AtomicBoolean stopping,
                OpenRequestCounter openRequests) {
            this.endpoint = endpoint;
            this.executor = executor;
            this.stopping = stopping;
            this.openRequests = openRequests;
        }

        @Override
        public void service(Request request, Response response) {
            openRequests.add(request);
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
                rejectBody(exchange, e);
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

        private void rejectBody(Exchange exchange, BodyException e) {
            try {
                String code = e.isTooLarge() ? ErrorCodes.TOO_LARGE : ErrorCodes.INVALID_REQUEST;
                exchange.setHeader("Connection", "close");
                exchange.sendError(
                        e.isTooLarge() ? 413 : 400,
                        ErrorView.of(code, e.getMessage(), Outcome.NOT_RUN));
                // Grizzly recycles the request after its response, so the connection is read here.
                Connection<?> connection = exchange.connection();
                executor.execute(() -> closeAfterDelay(connection));
            } catch (IOException connectionLost) {
                exchange.abort();
            }
        }

        private static void closeAfterDelay(Connection<?> connection) {
            try {
                Thread.sleep(REJECTION_CLOSE_DELAY);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            connection.closeSilently();
        }
    }
}
