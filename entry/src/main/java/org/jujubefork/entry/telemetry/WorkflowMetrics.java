package org.jujubefork.entry.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.Job;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect.Note;
import org.jujubefork.core.workflow.WorkflowState;

/**
 * The metrics of an entry that runs workflows. Decisions are counted by the lines that the log has
 * for them, so that both tell the same story.
 */
public final class WorkflowMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Keys of the detail of a decision that its counter is split by. */
    private static final List<String> REASON_KEYS = List.of("reason", "outcome", "how");

    private final PrometheusRegistry registry;
    private final Counter decisions;
    private final Counter requests;
    private final Histogram requestSeconds;
    private final Histogram waitingSeconds;
    private final Histogram acceptanceSeconds;
    private final Counter storeCalls;
    private final Histogram storeSeconds;

    private WorkflowMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        decisions = counter("jujube_decisions_total", "Decisions by kind.", "kind", "reason");
        requests = counter("jujube_requests_total", "Calls of callers.", "queue", "status");
        requestSeconds = histogram("jujube_request_seconds", "Time until the answer.", "queue");
        waitingSeconds =
                histogram("jujube_waiting_seconds", "Time from ready to the order to start.");
        acceptanceSeconds =
                histogram("jujube_acceptance_seconds", "Time until an accepted job is stored.");
        storeCalls =
                counter("jujube_store_calls_total", "Calls to the store.", "operation", "answer");
        storeSeconds = histogram("jujube_store_seconds", "Time until the answer.", "operation");
    }

    /** Returns metrics in a registry of their own. */
    public static WorkflowMetrics create() {
        return new WorkflowMetrics(new PrometheusRegistry());
    }

    /** Returns the registry, for the exposition. */
    public PrometheusRegistry registry() {
        return registry;
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Histogram histogram(String name, String help, String... labels) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .classicUpperBounds(0.002, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 120)
                .classicOnly()
                .register(registry);
    }

    /** Counts a decision, and the time that it tells of. */
    public void countDecision(Note logEvent) {
        decisions.labelValues(logEvent.event(), reasonOf(logEvent)).inc();
        switch (logEvent.event()) {
            case "task-start" -> observeMillis(waitingSeconds, logEvent, "waited_ms");
            case "job-accepted" -> observeMillis(acceptanceSeconds, logEvent, "stored_ms");
            default -> {
                // The other decisions tell of no time that is worth a distribution.
            }
        }
    }

    private static String reasonOf(Note logEvent) {
        for (int i = 0; i + 1 < logEvent.detail().size(); i += 2) {
            if (REASON_KEYS.contains(logEvent.detail().get(i))) {
                return logEvent.detail().get(i + 1);
            }
        }
        return "";
    }

    private static void observeMillis(Histogram histogram, Note logEvent, String key) {
        int index = logEvent.detail().indexOf(key);
        if (index >= 0) {
            histogram.observe(Long.parseLong(logEvent.detail().get(index + 1)) / MILLIS_PER_SECOND);
        }
    }

    /** Counts a call of a caller that was answered. */
    public void countRequest(String queue, int status, long millis) {
        requests.labelValues(queue, Integer.toString(status)).inc();
        requestSeconds.labelValues(queue).observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts a call to the store; {@code answer} is its status, or why there is none. */
    public void countStoreCall(String operation, String answer, long millis) {
        storeCalls.labelValues(operation, answer).inc();
        storeSeconds.labelValues(operation).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Exposes figures of the control state.
     *
     * @param state returns the newest state
     * @param now returns the time of its clock in milliseconds
     */
    public void registerStateGauges(Supplier<WorkflowState> state, LongSupplier now) {
        gauge("jujube_leads", "1 if this entry leads.", state, s -> leads(s) ? 1 : 0);
        gauge("jujube_term", "The term.", state, s -> s.term());
        gauge(
                "jujube_configuration_version",
                "Version of the configuration in force.",
                state,
                s -> s.configuration().map(c -> c.version()).orElse(0L));
        gauge(
                "jujube_configuration_age_seconds",
                "Time since the store showed the configuration to be the newest.",
                state,
                s -> (now.getAsLong() - s.configurationAt()) / MILLIS_PER_SECOND);
        gauge(
                "jujube_commit_queue",
                "Jobs that wait to be written to the store.",
                state,
                s -> s.commits().dirty().size());
        gauge(
                "jujube_advice_queue",
                "Calls for advice that wait.",
                state,
                s -> s.desk().queue().size());
        labelledGauge(
                "jujube_jobs",
                "Accepted jobs that have not ended.",
                "queue",
                state,
                WorkflowMetrics::jobsByQueue);
        labelledGauge(
                "jujube_worker_report_age_seconds",
                "Time since the last answer of a worker.",
                "worker",
                state,
                s -> reportAges(s, now.getAsLong()));
        labelledGauge(
                "jujube_team_cpu_millis",
                "Processors that are charged to a team's limit.",
                "team",
                state,
                WorkflowMetrics::cpuByTeam);
    }

    private static boolean leads(WorkflowState state) {
        return state.leadership().leads();
    }

    private static Map<String, Double> jobsByQueue(WorkflowState state) {
        Map<String, Double> jobs = new HashMap<>();
        for (Job job : state.jobs().values()) {
            jobs.merge(job.queue(), 1.0, Double::sum);
        }
        return jobs;
    }

    private static Map<String, Double> reportAges(WorkflowState state, long now) {
        Map<String, Double> ages = new HashMap<>();
        for (WorkerNode worker : state.workers().values()) {
            if (worker.contact().answeredAt() >= 0) {
                ages.put(worker.id(), (now - worker.contact().answeredAt()) / MILLIS_PER_SECOND);
            }
        }
        return ages;
    }

    private static Map<String, Double> cpuByTeam(WorkflowState state) {
        Map<String, Double> used = new HashMap<>();
        for (WorkerNode worker : state.workers().values()) {
            for (WorkerNode.Charge charge : worker.charges().values()) {
                Resources size = charge.size();
                used.merge(charge.team(), (double) size.cpuMillis(), Double::sum);
            }
        }
        return used;
    }

    private void gauge(
            String name,
            String help,
            Supplier<WorkflowState> state,
            ToDoubleFunction<WorkflowState> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(state.get())))
                .register(registry);
    }

    private void labelledGauge(
            String name,
            String help,
            String label,
            Supplier<WorkflowState> state,
            Function<WorkflowState, Map<String, Double>> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(
                        callback ->
                                values.apply(state.get()).forEach((k, v) -> callback.call(v, k)))
                .register(registry);
    }
}
