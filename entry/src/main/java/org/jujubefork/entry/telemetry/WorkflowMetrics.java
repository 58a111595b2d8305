package org.jujubefork.entry.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.EvacuatedZone;
import org.jujubefork.core.workflow.Job;
import org.jujubefork.core.workflow.SchedulingPolicies;
import org.jujubefork.core.workflow.UnclaimedRoom;
import org.jujubefork.core.workflow.WaitReason;
import org.jujubefork.core.workflow.WaitingSteps;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.core.workflow.WorkflowState;

/**
 * The Prometheus metrics of an entry that runs workflows. Decisions are counted from the events
 * that are also written to the log, so that metrics and log agree.
 */
public final class WorkflowMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MILLICORE_MILLIS_PER_CORE_SECOND = 1_000_000;

    /** Keys of a log event's details whose value becomes the label {@code reason}. */
    private static final List<String> REASON_KEYS = List.of("reason", "outcome", "how");

    private final PrometheusRegistry registry;
    private final Counter decisions;
    private final Counter requests;
    private final Histogram requestSeconds;
    private final Histogram waitingSeconds;
    private final Histogram acceptanceSeconds;
    private final Histogram longestTickSeconds;
    private final Counter storeCalls;
    private final Histogram storeSeconds;

    private WorkflowMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        decisions = counter("jujube_decisions_total", "Decisions by kind.", "kind", "reason");
        requests =
                counter("jujube_requests_total", "Answered calls by callers.", "queue", "status");
        requestSeconds =
                histogram("jujube_request_seconds", "Time until the call is answered.", "queue");
        waitingSeconds =
                histogram("jujube_waiting_seconds", "Time from ready until the start command.");
        acceptanceSeconds =
                histogram("jujube_acceptance_seconds", "Time until an accepted job is stored.");
        longestTickSeconds =
                histogram(
                        "jujube_longest_tick_seconds",
                        "Longest tick of the control thread in each second as the leader.");
        storeCalls =
                counter("jujube_store_calls_total", "Calls to the store.", "operation", "answer");
        storeSeconds =
                histogram("jujube_store_seconds", "Time until the store answers.", "operation");
    }

    /** Returns metrics in a new registry. */
    public static WorkflowMetrics create() {
        return new WorkflowMetrics(new PrometheusRegistry());
    }

    /** Returns the registry from which the metrics endpoint reads. */
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

    /** Counts a decision and records the waiting or acceptance time in its details, if any. */
    public void countDecision(LogEvent logEvent) {
        decisions.labelValues(logEvent.event(), reasonOf(logEvent)).inc();
        switch (logEvent.event()) {
            case "task-start" -> observeMillis(waitingSeconds, logEvent, "waited_ms");
            case "job-accepted" -> observeMillis(acceptanceSeconds, logEvent, "stored_ms");
            case "control-load" -> observeMillis(longestTickSeconds, logEvent, "longest_tick_ms");
            default -> {
                // No histogram is kept for the other decisions.
            }
        }
    }

    private static String reasonOf(LogEvent logEvent) {
        for (int i = 0; i + 1 < logEvent.fields().size(); i += 2) {
            if (REASON_KEYS.contains(logEvent.fields().get(i))) {
                return logEvent.fields().get(i + 1);
            }
        }
        return "";
    }

    private static void observeMillis(Histogram histogram, LogEvent logEvent, String key) {
        int index = logEvent.fields().indexOf(key);
        if (index >= 0) {
            histogram.observe(Long.parseLong(logEvent.fields().get(index + 1)) / MILLIS_PER_SECOND);
        }
    }

    /** Counts an answered call to {@code queue}, which took {@code millis} milliseconds. */
    public void countRequest(String queue, int status, long millis) {
        requests.labelValues(queue, Integer.toString(status)).inc();
        requestSeconds.labelValues(queue).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts a call to the store and records its duration.
     *
     * @param operation label: the kind of call
     * @param answer label: the status of the answer, or the reason why there was none
     * @param millis duration of the call in milliseconds
     */
    public void countStoreCall(String operation, String answer, long millis) {
        storeCalls.labelValues(operation, answer).inc();
        storeSeconds.labelValues(operation).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Registers the gauge of the events that wait for the control thread.
     *
     * @param queuedEvents returns their number
     */
    public void registerEventGauge(IntSupplier queuedEvents) {
        GaugeWithCallback.builder()
                .name("jujube_event_backlog")
                .help("Events that wait for the control thread.")
                .callback(callback -> callback.call(queuedEvents.getAsInt()))
                .register(registry);
    }

    /**
     * Registers gauges that are computed from the control state on each scrape.
     *
     * @param state returns the latest control state
     * @param now returns the current time in milliseconds, on the clock that the state uses
     */
    public void registerStateGauges(Supplier<WorkflowState> state, LongSupplier now) {
        gauge("jujube_leads", "1 if this entry is the leader.", state, s -> leads(s) ? 1 : 0);
        gauge("jujube_term", "The current leader term.", state, s -> s.term());
        gauge(
                "jujube_configuration_version",
                "Version of the active configuration.",
                state,
                s -> s.configuration().map(c -> c.version()).orElse(0L));
        gauge(
                "jujube_configuration_age_seconds",
                "Time since the store last confirmed that the configuration is current.",
                state,
                s -> (now.getAsLong() - s.configurationConfirmedAt()) / MILLIS_PER_SECOND);
        gauge(
                "jujube_commit_queue",
                "Jobs waiting to be written to the store.",
                state,
                s -> s.commitQueue().dirtyJobs().size());
        gauge(
                "jujube_advice_queue",
                "Queued calls for advice.",
                state,
                s -> s.adviceRequests().pending().size());
        gauge(
                "jujube_advice_oldest_seconds",
                "Age of the oldest queued call for advice.",
                state,
                s -> oldestAdviceMillis(s, now.getAsLong()) / MILLIS_PER_SECOND);
        labelledGauge(
                "jujube_jobs",
                "Accepted jobs that have not ended, by queue.",
                "queue",
                state,
                WorkflowMetrics::jobsByQueue);
        labelledGauge(
                "jujube_worker_report_age_seconds",
                "Time since the last answer from a worker.",
                "worker",
                state,
                s -> reportAges(s, now.getAsLong()));
        labelledGauge(
                "jujube_team_cpu_millis",
                "CPU charged to a team's limit, in millicores.",
                "team",
                state,
                WorkflowMetrics::cpuByTeam);
        registerPolicyGauges(state);
        registerShareGauges(state);
        registerWaitingGauges(state, now);
        registerRoomGauges(state);
        registerDurationGauges(state);
    }

    private void registerRoomGauges(Supplier<WorkflowState> state) {
        labelledGauge(
                "jujube_free_cpu_millis",
                "CPU that the last placement pass has left free and not reserved, in millicores.",
                "service",
                state,
                s -> rooms(s, UnclaimedRoom::free));
        labelledGauge(
                "jujube_claimed_cpu_millis",
                "Free CPU that accepted work occupies as soon as it can start, in millicores.",
                "service",
                state,
                s -> rooms(s, UnclaimedRoom::claimed));
    }

    private static Map<String, Double> rooms(
            WorkflowState state, ToDoubleFunction<UnclaimedRoom> value) {
        Map<String, Double> values = new HashMap<>();
        state.backlogs()
                .services()
                .forEach((service, b) -> values.put(service, value.applyAsDouble(b.room())));
        return values;
    }

    private void registerDurationGauges(Supplier<WorkflowState> state) {
        labelledGauge(
                "jujube_learned_duration_factor",
                "Typical duration of a task relative to its estimate, by queue.",
                "queue",
                state,
                s -> s.durations().factors());
        labelledGauge(
                "jujube_learned_estimate_weight",
                "How far estimates predict durations, from 0 to 1, by queue.",
                "queue",
                state,
                s -> s.durations().estimateWeights());
        labelledGauge(
                "jujube_forecast_wait_seconds",
                "Expected wait of the least urgent new work for capacity, by service.",
                "service",
                state,
                WorkflowMetrics::forecastWaits);
    }

    private static Map<String, Double> forecastWaits(WorkflowState state) {
        Map<String, Double> waits = new HashMap<>();
        state.forecast()
                .waitMillisByService()
                .forEach((service, millis) -> waits.put(service, millis / MILLIS_PER_SECOND));
        return waits;
    }

    private static Map<String, Double> tasksByEvacuatedZone(WorkflowState state) {
        Map<String, Double> tasks = new HashMap<>();
        EvacuatedZone.of(state).forEach(z -> tasks.put(z.zone(), (double) z.running()));
        return tasks;
    }

    /** Returns 1 for each policy in force, by what it decides and its name. */
    private static Map<String, Double> policiesInForce(WorkflowState state) {
        SchedulingPolicies.Names names = state.policies().names();
        return Map.of(
                "order:" + names.order(), 1.0,
                "share:" + names.share(), 1.0,
                "durations:" + names.durations(), 1.0,
                "retry:" + names.retry(), 1.0);
    }

    private void registerPolicyGauges(Supplier<WorkflowState> state) {
        gauge(
                "jujube_evacuated_zones",
                "Zones in which no task is started.",
                state,
                s -> s.evacuations().zones().size());
        labelledGauge(
                "jujube_evacuated_zone_tasks",
                "Runs in an evacuated zone that may be active, by zone.",
                "zone",
                state,
                WorkflowMetrics::tasksByEvacuatedZone);
        labelledGauge(
                "jujube_scheduling_policy",
                "1 for each scheduling policy in force.",
                "policy",
                state,
                WorkflowMetrics::policiesInForce);
    }

    private void registerShareGauges(Supplier<WorkflowState> state) {
        labelledGauge(
                "jujube_team_share_ratio",
                "Ratio of the use of a team to its fair share.",
                "team",
                state,
                s -> byTeam(s, s.teamLedger()::shareRatio));
        labelledGauge(
                "jujube_team_used_core_seconds",
                "Decayed CPU time that a team has used.",
                "team",
                state,
                s ->
                        byTeam(
                                s,
                                t ->
                                        s.teamLedger().accounts().get(t).usedWork()
                                                / MILLICORE_MILLIS_PER_CORE_SECOND));
    }

    /** Returns a value of each team in the ledger; none if the policy in force keeps no ledger. */
    private static Map<String, Double> byTeam(WorkflowState state, ToDoubleFunction<String> value) {
        Map<String, Double> values = new HashMap<>();
        for (String team : state.teamLedger().accounts().keySet()) {
            values.put(team, value.applyAsDouble(team));
        }
        return values;
    }

    private void registerWaitingGauges(Supplier<WorkflowState> state, LongSupplier now) {
        labelledGauge(
                "jujube_waiting_steps",
                "Steps whose turn has come and that have tasks to start, by reason.",
                "reason",
                state,
                s -> byReason(s, total -> total.count()));
        labelledGauge(
                "jujube_longest_wait_seconds",
                "Longest time that a step has waited without a start, by reason.",
                "reason",
                state,
                s -> byReason(s, total -> (now.getAsLong() - total.since()) / MILLIS_PER_SECOND));
        gauge(
                "jujube_unreached_workers",
                "Workers that have not answered in this term.",
                state,
                s -> s.workers().values().stream().filter(w -> !w.contact().reached()).count());
        gauge(
                "jujube_reserved_workers",
                "Workers that are reserved for gangs.",
                state,
                s -> s.waitingSteps().reservedWorkers());
    }

    private static long oldestAdviceMillis(WorkflowState state, long now) {
        return state.adviceRequests().pending().stream()
                .mapToLong(r -> now - r.queuedAt())
                .max()
                .orElse(0);
    }

    /** Returns a value of each reason; it is 0 if no step waits for the reason. */
    private static Map<String, Double> byReason(
            WorkflowState state, ToDoubleFunction<WaitingSteps.Total> value) {
        Map<String, Double> values = new HashMap<>();
        for (WaitReason reason : WaitReason.values()) {
            WaitingSteps.Total total = state.waitingSteps().byReason().get(reason);
            values.put(reason.label(), total == null ? 0 : value.applyAsDouble(total));
        }
        return values;
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
            if (worker.contact().lastContactAt() >= 0) {
                ages.put(worker.id(), (now - worker.contact().lastContactAt()) / MILLIS_PER_SECOND);
            }
        }
        return ages;
    }

    private static Map<String, Double> cpuByTeam(WorkflowState state) {
        Map<String, Double> used = new HashMap<>();
        for (WorkerNode worker : state.workers().values()) {
            for (WorkerNode.Charge charge : worker.charges().values()) {
                Resources size = charge.size();
                used.merge(charge.team().orElse(""), (double) size.cpuMillis(), Double::sum);
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
