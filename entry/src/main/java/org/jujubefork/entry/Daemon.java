package org.jujubefork.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.http.Method;
import org.jboss.logging.Logger;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.vms.VmListClient;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.config.settings.DaemonSettings;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.control.State;
import org.jujubefork.core.event.DrainRequested;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.ownership.Drain;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.ControlLoop;
import org.jujubefork.entry.control.EffectRouter;
import org.jujubefork.entry.http.ConfigurationEndpoint;
import org.jujubefork.entry.http.Exchange;
import org.jujubefork.entry.http.FleetViews;
import org.jujubefork.entry.http.HttpFrontEnd;
import org.jujubefork.entry.http.JobEndpoint;
import org.jujubefork.entry.http.MetricsEndpoint;
import org.jujubefork.entry.http.OperatorAccess;
import org.jujubefork.entry.http.OperatorEndpoint;
import org.jujubefork.entry.http.RequestEndpoint;
import org.jujubefork.entry.http.RequestIdGenerator;
import org.jujubefork.entry.http.Route;
import org.jujubefork.entry.peer.PeerExecutor;
import org.jujubefork.entry.peer.PeerMessage;
import org.jujubefork.entry.peer.PeerTransport;
import org.jujubefork.entry.peer.PeerViews;
import org.jujubefork.entry.platform.ConfigurationApplier;
import org.jujubefork.entry.platform.EntryRegistration;
import org.jujubefork.entry.platform.StoreExecutor;
import org.jujubefork.entry.platform.StoreWatcher;
import org.jujubefork.entry.platform.VmListPoller;
import org.jujubefork.entry.platform.WorkerExecutor;
import org.jujubefork.entry.telemetry.DecisionLogger;
import org.pcollections.TreePVector;

/** A running entry: the control loop, the effect executors, the servers and the pollers. */
public final class Daemon implements AutoCloseable {
    private static final Logger log = Logger.getLogger(Daemon.class);
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

    /**
     * Time for which a stopping entry that reports not ready still accepts requests, so that the
     * load balancer can stop sending them.
     */
    private static final long NOT_READY_NOTICE_MILLIS = 1_000;

    private final DaemonSettings settings;
    private final ControlLoop loop;
    private final Transport transport;
    private final PeerTransport peers;
    private final HttpFrontEnd http;
    private final StoreWatcher watcher;
    private final EntryRegistration registration;
    private final VmListPoller vmList;
    private volatile boolean stopping;

    private Daemon(DaemonContext context) throws IOException {
        settings = context.settings();
        loop = context.loop();
        transport = context.transport();
        PeerExecutor peerExecutor =
                new PeerExecutor(
                        context.clock(),
                        loop,
                        context.registry(),
                        context.configuration(),
                        context.configuration()::newestDocument,
                        settings.maxRequestBodyBytes());
        peers =
                PeerTransport.start(
                        settings.peerAddress(),
                        new PeerMessage.Hello(context.id(), settings.peerAddress().toString()),
                        peerExecutor,
                        peerExecutor::connectionLost,
                        PeerTraffic.of(loop::state, context.metrics()::countPeerBytes));
        peerExecutor.attach(peers);
        loop.start(createRouter(context, peerExecutor));
        postSeeds(context);
        http = HttpFrontEnd.start(settings.httpAddress(), createRoutes(context, peerExecutor));
        watcher =
                StoreWatcher.start(
                        context.store(),
                        context.configuration(),
                        context.clock(),
                        loop,
                        context.random(),
                        context.metrics());
        registration =
                EntryRegistration.start(
                        context.store(),
                        settings.name(),
                        settings.peerAddress().toString(),
                        context.metrics());
        vmList =
                VmListPoller.start(
                        new VmListClient(
                                transport, DaemonContext.toAddress(settings.vmListAddress())),
                        Duration.ofMillis(settings.vmListIntervalMillis()),
                        context.clock(),
                        loop);
    }

    private static EffectRouter createRouter(DaemonContext context, PeerExecutor peers) {
        StoreExecutor store =
                new StoreExecutor(
                        context.store(),
                        context.registry(),
                        context.clock(),
                        context.loop(),
                        context.metrics());
        return new EffectRouter(
                peers::execute,
                new WorkerExecutor(
                        new WorkerClient(context.transport()),
                        context.registry(),
                        context.clock(),
                        context.loop()),
                new RequestExecutor(context.registry(), peers, store),
                store,
                new DecisionLogger(context.metrics()));
    }

    private void postSeeds(DaemonContext context) {
        TreePVector<String> seeds =
                TreePVector.from(settings.seeds().stream().map(HostPort::toString).toList());
        loop.post(new MembershipEvent.PeersDiscovered(context.clock().millis(), seeds));
    }

    private List<Route> createRoutes(DaemonContext context, PeerExecutor peerExecutor) {
        OperatorAccess access = new OperatorAccess(loop::state);
        ConfigurationEndpoint configuration =
                new ConfigurationEndpoint(
                        new ConfigurationApplier(
                                context.store(),
                                context.reader(),
                                context.configuration(),
                                loop::state),
                        access);
        RequestIdGenerator ids = RequestIdGenerator.of(context.id());
        JobEndpoint jobs =
                new JobEndpoint(ids, context.registry(), loop::state, context.clock(), loop);
        OperatorEndpoint operators =
                new OperatorEndpoint(
                        loop::state, this::requestStop, access, fleetViews(peerExecutor));
        List<Route> routes = new ArrayList<>(operators.routes());
        routes.addAll(
                List.of(
                        Route.withVariable(
                                Method.POST,
                                ApiPaths.QUEUES,
                                "/requests",
                                requestEndpoint(context, ids)),
                        Route.exact(Method.POST, ApiPaths.JOBS, jobs::submit),
                        Route.withVariable(Method.GET, ApiPaths.JOBS + "/", "/wait", jobs::await),
                        Route.withVariable(Method.GET, ApiPaths.JOBS + "/", "", jobs::show),
                        Route.withVariable(Method.DELETE, ApiPaths.JOBS + "/", "", jobs::cancel),
                        Route.exact(
                                Method.GET, ApiPaths.CONFIG, access.protect(configuration::show)),
                        Route.exact(Method.PUT, ApiPaths.CONFIG, configuration::apply),
                        Route.exact(
                                Method.GET,
                                "/metrics",
                                new MetricsEndpoint(context.metrics().registry())),
                        Route.exact(Method.GET, "/healthz", (e, v) -> sendText(e, 200, "ok")),
                        Route.exact(Method.GET, "/readyz", (e, v) -> sendReadiness(e))));
        return routes;
    }

    private FleetViews fleetViews(PeerExecutor peerExecutor) {
        PeerViews views =
                peerExecutor.exchangeViews(view -> FleetViews.localView(loop.state(), view));
        return new FleetViews(loop::state, views::fetch);
    }

    private RequestEndpoint requestEndpoint(DaemonContext context, RequestIdGenerator ids) {
        return new RequestEndpoint(
                ids,
                context.registry(),
                loop::state,
                context.clock(),
                loop,
                context.random(),
                settings.maxRequestBodyBytes(),
                settings.maxAnswerBytes());
    }

    /**
     * Starts an entry with a new incarnation.
     *
     * @throws IOException if an address cannot be bound
     */
    public static Daemon start(DaemonSettings settings) throws IOException {
        EntryId id = EntryId.of(settings.name(), System.currentTimeMillis());
        Daemon daemon = new Daemon(DaemonContext.of(settings, id));
        log.infof(
                "event=started entry=%s http=%s peer=%s",
                id, settings.httpAddress(), settings.peerAddress());
        return daemon;
    }

    /** Makes the process exit, which runs the same shutdown hook as a termination signal. */
    private void requestStop() {
        Thread.ofPlatform().name("drain").start(() -> System.exit(0));
    }

    /**
     * Hands over the shards, completes the accepted requests and stops, within the drain timeout of
     * the settings.
     */
    @Override
    public void close() throws IOException {
        long deadlineMillis = Clock.SYSTEM.millis() + settings.drainTimeoutMillis();
        log.infof("event=stopping entry=%s", settings.name());
        stopping = true;
        http.closeConnectionsAfterResponse();
        boolean drained = drain(deadlineMillis);
        http.close(Duration.ofMillis(Math.max(0, deadlineMillis - Clock.SYSTEM.millis())));
        vmList.close();
        registration.close();
        watcher.close();
        loop.close();
        peers.close();
        transport.close();
        log.infof("event=stopped entry=%s drained=%b", settings.name(), drained);
    }

    private boolean drain(long deadlineMillis) {
        try {
            Thread.sleep(Math.min(NOT_READY_NOTICE_MILLIS, settings.drainTimeoutMillis()));
            loop.post(new DrainRequested(Clock.SYSTEM.millis()));
            while (!isDrained() && Clock.SYSTEM.millis() < deadlineMillis) {
                Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return isDrained();
    }

    private boolean isDrained() {
        State current = loop.state();
        return current.draining() && Drain.isComplete(current);
    }

    private void sendReadiness(Exchange exchange) throws IOException {
        State current = loop.state();
        boolean ready = !stopping && current.configuration().isPresent();
        sendText(exchange, ready ? 200 : 503, ready ? "ready" : "not ready");
    }

    private static void sendText(Exchange exchange, int status, String text) throws IOException {
        exchange.send(status, "text/plain", (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
