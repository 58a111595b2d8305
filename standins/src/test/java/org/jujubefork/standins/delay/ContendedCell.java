package org.jujubefork.standins.delay;

import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.HistoryEvent;

/** A cell that six teams of unlike weights ask for about three times its processors. */
final class ContendedCell {
    /** Weights by team. */
    static final Map<String, Double> WEIGHTS = weights();

    /** Names of the targets of requests, which are the last parts of the names of queues. */
    static final List<String> REQUESTS = List.of("lookup", "urgent", "command");

    /** Tasks of a job. */
    static final int JOB_TASKS = 30;

    private static final Resources RESERVE = Resources.of(1_000, 1_024, 0);
    private static final int RESERVED_SLOTS = 2;
    private static final int ENTRIES = 4;
    private static final int ZONES = 2;
    private static final int WORKERS_PER_ZONE = 4;
    private static final int SLOTS = 8;
    private static final long TASK_MILLIS = 2_000;
    private static final long JOB_INTERVAL_MILLIS = 2_000;
    private static final long REQUEST_MILLIS = 20;
    private static final List<Double> RATES_PER_TEAM = List.of(10.0, 5.0, 2.0);
    private static final int LOAD_SECONDS = 50;

    private final TestCell cell;
    private final Map<String, Long> submittedNanos = new ConcurrentHashMap<>();
    private final Map<String, String> refusedJobs = new ConcurrentHashMap<>();

    private ContendedCell(TestCell cell) {
        this.cell = cell;
    }

    /**
     * What a run gave.
     *
     * @param beganNanos monotonic time at which the load began
     * @param endedNanos monotonic time at which the load ended
     * @param calls the requests
     * @param submittedNanos when the caller of a job began to submit it, by job
     * @param refusedJobs how many jobs were not accepted
     * @param history what the workers saw
     */
    record Run(
            long beganNanos,
            long endedNanos,
            List<Call> calls,
            Map<String, Long> submittedNanos,
            int refusedJobs,
            List<HistoryEvent> history) {}

    private static Map<String, Double> weights() {
        Map<String, Double> weights = new LinkedHashMap<>();
        List<Double> values = List.of(4.0, 3.0, 2.0, 1.0, 1.0, 1.0);
        for (int i = 0; i < values.size(); i++) {
            weights.put("t" + (i + 1), values.get(i));
        }
        return java.util.Collections.unmodifiableMap(weights);
    }

    /** Describes the load for the report. */
    static String description() {
        return String.format(
                java.util.Locale.ROOT,
                "%d entries and %d workers of 8 cores in %d regions, each worker with %d slots, of"
                        + " which %d and 1 core are kept for urgent lookups. Each team submits %d"
                        + " batch tasks of 1 core and %d ms every %d ms and sends %.0f lookups,"
                        + " %.0f urgent lookups and %.0f commands/s of 1 core and %d ms, for %d s.",
                ENTRIES,
                ZONES * WORKERS_PER_ZONE,
                ZONES,
                SLOTS,
                RESERVED_SLOTS,
                JOB_TASKS,
                TASK_MILLIS,
                JOB_INTERVAL_MILLIS,
                RATES_PER_TEAM.get(0),
                RATES_PER_TEAM.get(1),
                RATES_PER_TEAM.get(2),
                REQUEST_MILLIS,
                LOAD_SECONDS);
    }

    /** Starts a cell, loads it and ends it. */
    static Run run(UnaryOperator<SmallCell> policy) throws Exception {
        SmallCell builder =
                SmallCell.of(ENTRIES)
                        .workers(ZONES, WORKERS_PER_ZONE, SLOTS)
                        .reserve(RESERVE, RESERVED_SLOTS);
        WEIGHTS.forEach((team, weight) -> builder.team(team).weight(team, weight));
        try (TestCell cell = TestCell.start(policy.apply(builder).plan())) {
            return new ContendedCell(cell).load();
        }
    }

    private Run load() throws Exception {
        long began = System.nanoTime();
        List<Thread> submitters = new ArrayList<>();
        int index = 0;
        for (String team : WEIGHTS.keySet()) {
            int first = index++;
            submitters.add(Thread.ofVirtual().start(() -> submitAll(team, first, began)));
        }
        List<Target> targets = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        for (int t = 0; t < REQUESTS.size(); t++) {
            for (String team : WEIGHTS.keySet()) {
                targets.add(target(REQUESTS.get(t), team, targets.size()));
                rates.add(RATES_PER_TEAM.get(t));
            }
        }
        List<Call> calls = new OpenLoop().run(OpenLoop.mixed("c", targets, rates, LOAD_SECONDS));
        long ended = began + TimeUnit.SECONDS.toNanos(LOAD_SECONDS);
        for (Thread submitter : submitters) {
            submitter.join();
        }
        return new Run(
                began,
                ended,
                calls,
                Map.copyOf(submittedNanos),
                refusedJobs.size(),
                cell.fleetHistory());
    }

    private Target target(String kind, String team, int number) {
        EntryVm entry = cell.entry(number % ENTRIES);
        URI uri =
                URI.create("http://" + entry.httpAddress() + ApiPaths.requests(team + "-" + kind));
        return Target.of(
                kind,
                id -> {
                    HttpRequest.Builder request =
                            HttpRequest.newBuilder(uri)
                                    .header("Authorization", "Bearer " + SmallCell.key(team))
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(input(id)));
                    if (kind.equals("command")) {
                        request.header(ApiPaths.IDEMPOTENCY_HEADER, id);
                    }
                    return request.build();
                });
    }

    private static byte[] input(String id) {
        return JsonFields.object()
                .put("echo", id)
                .put("idempotencyKey", id)
                .put("runMillis", REQUEST_MILLIS)
                .put("answerBytes", 100)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private void submitAll(String team, int first, long began) {
        long jobs = TimeUnit.SECONDS.toMillis(LOAD_SECONDS) / JOB_INTERVAL_MILLIS;
        try (ApiClient client = cell.client(first, Optional.of(SmallCell.key(team)))) {
            for (int i = 0; i < jobs; i++) {
                long at = began + TimeUnit.MILLISECONDS.toNanos(i * JOB_INTERVAL_MILLIS);
                TimeUnit.NANOSECONDS.sleep(at - System.nanoTime());
                submit(client, team, i);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submit(ApiClient client, String team, int number) throws InterruptedException {
        String key = "job-" + team + "-" + number;
        long began = System.nanoTime();
        try {
            String job =
                    client.submit(
                                    new JobRequest(
                                            team + "-batch",
                                            key,
                                            JOB_TASKS,
                                            Optional.empty(),
                                            "{\"runMillis\":" + TASK_MILLIS + "}",
                                            Optional.of(key)))
                            .id();
            submittedNanos.put(job, began);
        } catch (ApiException | InvalidMessageException | NotReachableException e) {
            refusedJobs.put(key, String.valueOf(e.getMessage()));
        }
    }
}
