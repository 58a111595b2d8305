package org.jujubefork.entry.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jujubefork.core.control.State;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.placement.ShardState;

/** The Prometheus metrics of an entry daemon. */
public final class DaemonMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PrometheusRegistry registry;
    private final Counter decisions;
    private final Histogram waitingSeconds;
    private final Counter peerBytes;
    private final Counter storeCalls;

    private DaemonMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        decisions =
                Counter.builder()
                        .name("jujube_decisions_total")
                        .help("Decisions by kind and team.")
                        .labelNames("kind", "team")
                        .register(registry);
        waitingSeconds =
                Histogram.builder()
                        .name("jujube_waiting_seconds")
                        .help("Time from queueing to placement, by kind of work.")
                        .labelNames("kind")
                        .classicUpperBounds(0.001, 0.005, 0.02, 0.1, 0.5, 1, 5.4, 30, 120, 600)
                        .classicOnly()
                        .register(registry);
        peerBytes =
                Counter.builder()
                        .name("jujube_peer_bytes_total")
                        .help("Bytes sent to other entries, by distance and purpose.")
                        .labelNames("distance", "purpose")
                        .register(registry);
        storeCalls =
                Counter.builder()
                        .name("jujube_store_calls_total")
                        .help("Calls to the store, by operation.")
                        .labelNames("operation")
                        .register(registry);
    }

    /** Returns metrics in a new registry. */
    public static DaemonMetrics create() {
        return new DaemonMetrics(new PrometheusRegistry());
    }

    /** Returns the registry from which the metrics endpoint reads. */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Registers metrics that are computed from the control state on each scrape.
     *
     * @param state returns the latest control state
     * @param backlog returns the number of events that wait for the control thread
     * @param refusedEvents returns the number of peer messages rejected so far
     */
    public void registerStateMetrics(
            Supplier<State> state, Supplier<Integer> backlog, Supplier<Long> refusedEvents) {
        CounterWithCallback.builder()
                .name("jujube_events_refused_total")
                .help("Messages from other entries rejected because the event queue was full.")
                .callback(callback -> callback.call(refusedEvents.get()))
                .register(registry);
        gauge("jujube_event_backlog", "Events waiting for the control thread.", backlog::get);
        gauge(
                "jujube_configuration_version",
                "Version of the active configuration.",
                () -> state.get().configuration().map(c -> c.version()).orElse(0L));
        gauge(
                "jujube_open_requests",
                "Requests that have not been answered yet.",
                () -> state.get().requests().active().size());
        shardGauge(
                "jujube_shard_queue", "Queued requests and tasks.", state, s -> s.queue().size());
        shardGauge("jujube_shard_tasks", "Placed tasks.", state, s -> s.tasks().size());
        shardGauge(
                "jujube_shard_workers",
                "Workers that accept work.",
                state,
                s -> s.workerIndex().byFree().size());
        GaugeWithCallback.builder()
                .name("jujube_team_cpu_millis")
                .help("Declared CPU of placed tasks in owned shards, in millicores, by team.")
                .labelNames("shard", "team")
                .callback(
                        callback -> {
                            for (ShardState shard : state.get().shards().values()) {
                                shard.usage()
                                        .forEach(
                                                (team, used) ->
                                                        callback.call(
                                                                used.cpuMillis(),
                                                                shard.id().value(),
                                                                team.value()));
                            }
                        })
                .register(registry);
    }

    private void gauge(String name, String help, Supplier<? extends Number> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.get().doubleValue()))
                .register(registry);
    }

    private void shardGauge(
            String name, String help, Supplier<State> state, ToIntFunction<ShardState> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("shard")
                .callback(
                        callback ->
                                state.get()
                                        .shards()
                                        .values()
                                        .forEach(
                                                s ->
                                                        callback.call(
                                                                value.applyAsInt(s),
                                                                s.id().value())))
                .register(registry);
    }

    /** Counts a decision; for a placement, also records how long the work was queued. */
    void countDecision(LogDecision decision) {
        String kind = decision.kind().name().toLowerCase(Locale.ROOT);
        decisions.labelValues(kind, decision.team().map(t -> t.value()).orElse("")).inc();
        if (decision.kind() == DecisionKind.PLACED) {
            waitingSeconds
                    .labelValues(decision.reason().toLowerCase(Locale.ROOT))
                    .observe(decision.waitedMillis() / MILLIS_PER_SECOND);
        }
    }

    /**
     * Counts bytes sent to another entry.
     *
     * @param distance label: distance to the receiver in the topology, or unknown
     * @param purpose label: the kind of message, see {@code TrafficMeter}
     * @param bytes number of bytes, including the length field of the frame
     */
    public void countPeerBytes(String distance, String purpose, long bytes) {
        peerBytes.labelValues(distance, purpose).inc(bytes);
    }

    /** Counts a call to the store under the label {@code operation}. */
    public void countStoreCall(String operation) {
        storeCalls.labelValues(operation).inc();
    }
}
