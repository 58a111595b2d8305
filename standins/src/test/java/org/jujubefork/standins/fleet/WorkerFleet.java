package org.jujubefork.standins.fleet;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.jujubefork.client.http.Address;
import org.jujubefork.standins.history.HistorySink;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;
import org.jujubefork.standins.http.StandinServer;

/** Many workers in one process, each at its own loopback port, and one control port. */
public final class WorkerFleet implements AutoCloseable {
    private final ScheduledThreadPoolExecutor timer;
    private final WorkerHttp http;
    private final StandinServer server;
    private final Map<Integer, SimulatedWorker> byPort = new ConcurrentHashMap<>();
    private final Map<String, SimulatedWorker> byId = new HashMap<>();
    private final Map<String, Integer> ports = new HashMap<>();

    private WorkerFleet(FleetFile file, FleetOptions options, HistorySink history)
            throws IOException {
        this.http = new WorkerHttp();
        this.timer =
                new ScheduledThreadPoolExecutor(
                        1, Thread.ofPlatform().daemon().name("fleet-timer").factory());
        timer.setRemoveOnCancelPolicy(true);
        timer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        this.server = StandinServer.start(options.controlPort(), this::handle);
        WorkerTransitions transitions =
                new WorkerTransitions(
                        options.enforceCapacity(),
                        options.ignoreEpochs(),
                        options.usageLag().toNanos());
        // The wall clock makes the incarnations of a restarted process differ from earlier ones.
        long incarnation = System.currentTimeMillis();
        for (FleetFile.Worker spec : file.workers()) {
            SimulatedWorker worker =
                    new SimulatedWorker(
                            WorkerState.initial(spec, incarnation), transitions, history, timer);
            int port = server.bind(spec.port(), spec.connections());
            byPort.put(port, worker);
            byId.put(spec.id(), worker);
            ports.put(spec.id(), port);
        }
    }

    public static WorkerFleet start(FleetFile file, FleetOptions options, HistorySink history)
            throws IOException {
        return new WorkerFleet(file, options, history);
    }

    public int controlPort() {
        return server.port();
    }

    /** Returns where a worker listens. */
    public Address address(String worker) {
        worker(worker);
        return Address.of(StandinServer.HOST, ports.get(worker));
    }

    /** Makes each task that starts from now on fail at once, or not. */
    public void failStarts(String worker, boolean on) {
        worker(worker).apply(new WorkerCommand.SetFailStarts(on));
    }

    public void leaving(String worker, boolean on) {
        worker(worker).apply(new WorkerCommand.SetLeaving(on));
    }

    /** Closes the worker's port and its connections; its tasks go on. */
    public void cut(String worker) throws IOException {
        worker(worker);
        server.cut(ports.get(worker));
    }

    public void restore(String worker) throws IOException {
        worker(worker);
        server.restore(ports.get(worker));
    }

    /** Restarts a worker: all its tasks are lost, and its connections are closed. */
    public void restart(String worker) throws IOException {
        worker(worker).apply(new WorkerCommand.Restart());
        cut(worker);
        restore(worker);
    }

    public void delayMillis(String worker, long millis) {
        worker(worker).delayMillis(millis);
    }

    /** Drops the connection instead of the answer to the next accepted starts. */
    public void loseAnswers(String worker, long count) {
        worker(worker).loseAnswers(count);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }

    WorkerState state(String worker) {
        return worker(worker).apply(new WorkerCommand.Tick()).state();
    }

    private SimulatedWorker worker(String id) {
        return Optional.ofNullable(byId.get(id))
                .orElseThrow(() -> new IllegalArgumentException("no such worker: " + id));
    }

    private Reply handle(Call call) throws InterruptedException {
        SimulatedWorker worker = byPort.get(call.port());
        return worker == null ? FleetControl.handle(this, call) : http.handle(worker, call);
    }
}
