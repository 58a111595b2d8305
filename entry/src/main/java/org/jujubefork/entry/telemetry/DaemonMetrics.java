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

/** The metrics of an entry. */
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
                        .help("Time from the queue to the placement, by kind of work.")
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

    /** Returns metrics in a registry of their own. */
    public static DaemonMetrics create() {
        return new DaemonMetrics(new PrometheusRegistry());
    }

    /** Returns the registry, for the exposition. */
    public PrometheusRegistry registry() {
        return registry;
    }

    /** Exposes figures of the control state. */
    public void registerStateMetrics(
            Supplier<State> state, Supplier<Integer> backlog, Supplier<Long> refusedEvents) {
        CounterWithCallback.builder()
                .name("jujube_events_refused_total")
                .help("Messages of other entries refused because the event queue was full.")
                .callback(callback -> callback.call(refusedEvents.get()))
                .register(registry);
        gauge("jujube_event_backlog", "Events that wait for the control thread.", backlog::get);
        gauge(
                "jujube_configuration_version",
                "Version of the configuration in force.",
                () -> state.get().configuration().map(c -> c.version()).orElse(0L));
        gauge(
                "jujube_open_requests",
                "Requests without an answer.",
                () -> state.get().requests().active().size());
        shardGauge(
                "jujube_shard_queue",
                "Requests and tasks that wait.",
                state,
                s -> s.queue().size());
        shardGauge("jujube_shard_tasks", "Tasks that are placed.", state, s -> s.tasks().size());
        shardGauge(
                "jujube_shard_workers",
                "Workers that take work.",
                state,
                s -> s.workerIndex().byFree().size());
        GaugeWithCallback.builder()
                .name("jujube_team_cpu_millis")
                .help("Declared processors of placed tasks in owned shards, by team.")
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

    /** Counts a decision, and the waiting time of a placement. */
    void countDecision(LogDecision decision) {
        String kind = decision.kind().name().toLowerCase(Locale.ROOT);
        decisions.labelValues(kind, decision.team().map(t -> t.value()).orElse("")).inc();
        if (decision.kind() == DecisionKind.PLACED) {
            waitingSeconds
                    .labelValues(decision.reason().toLowerCase(Locale.ROOT))
                    .observe(decision.waitedMillis() / MILLIS_PER_SECOND);
        }
    }

    /** Counts bytes sent to another entry. */
    public void countPeerBytes(String distance, String purpose, long bytes) {
        peerBytes.labelValues(distance, purpose).inc(bytes);
    }

    /** Counts a call to the store. */
    public void countStoreCall(String operation) {
        storeCalls.labelValues(operation).inc();
    }
}
