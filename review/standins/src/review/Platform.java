package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/** A small deployment: entries as processes; store, workers, advice and clients as stand-ins. */
final class Platform implements AutoCloseable {
    static final String KEY = "key-of-the-tenant";

    private static final int START_ATTEMPTS = 4;

    /** One start of a task on a worker. */
    record Start(long atMillis, String worker, String task, long run) {}

    final Record record;
    final StoreStandin store = new StoreStandin();
    final AdviceStandin advice;
    final List<WorkerStandin> workers = new ArrayList<>();
    final List<EntryProcess> entries = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();

    /** The runs that are at work, by task and run, with the worker. */
    final Map<String, String> running = new ConcurrentHashMap<>();

    /** How many ends {@code failed} of each task were acknowledged. */
    final Map<String, Integer> failuresNoted = new ConcurrentHashMap<>();

    private final HttpClient client = HttpClient.newHttpClient();
    private final AdviceStandin.Timing timing;
    private final long capMillicores;
    private final Path directory = Files.createTempDirectory("jujube-review");

    /**
     * Starts the deployment.
     *
     * @param timing the times of the advice service, null if the queue needs no advice
     * @param capMillicores the tenant's limit, 0 for none
     */
    Platform(
            Record record,
            int entryCount,
            int workerCount,
            AdviceStandin.Timing timing,
            long capMillicores)
            throws Exception {
        directory.toFile().deleteOnExit();
        this.record = record;
        this.advice = new AdviceStandin(timing, record);
        this.timing = timing;
        this.capMillicores = capMillicores;
        store.put("op/config", configuration(7));
        for (int i = 0; i < workerCount; i++) {
            WorkerStandin worker =
                    new WorkerStandin(String.format("i-%010x", 0x5a00 + 77 * i), advice, runs());
            workers.add(worker);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(
                    EntryProcess.start(i, directory, store.address(), advice.addressFor(i)));
        }
        for (int i = 0; i < entryCount; i++) {
            awaitReady(i);
        }
        await("a leader", 20_000, () -> leader() != null);
        // The leader reaches the workers, and writes them to the store.
        Thread.sleep(2_000);
    }

    /** Waits for an entry, and starts it again if another process has taken one of its ports. */
    private void awaitReady(int index) throws Exception {
        for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
            EntryProcess entry = entries.get(index);
            await("start of entry " + index, 30_000, () -> isReady(entry) || !entry.isAlive());
            if (entry.isAlive()) {
                return;
            }
            record.add("entry %d has ended before it was ready", index);
            entries.set(
                    index,
                    EntryProcess.start(
                            index, directory, store.address(), advice.addressFor(index)));
        }
        throw new CannotRun("entry " + index + " does not start");
    }

    /** Returns a configuration with the queue of the jobs and another one. */
    String configuration(long version) {
        return configuration(version, route("r-q", "/q/") + "," + route("r-other", "/other/"));
    }

    /** Returns a configuration in which the queue of the jobs is missing. */
    String configurationWithoutQueue(long version) {
        return configuration(version, route("r-other", "/other/"));
    }

    private String configuration(long version, String routes) {
        return String.format(
                "{\"version\":%d,\"routes\":[%s],"
                        + "\"services\":[{\"name\":\"svc\",\"enforces_capacity\":false}],"
                        + "\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"t\","
                        + "\"api_keys\":[\"%s\"],\"priority\":1,\"weight\":100,"
                        + "\"cap\":{\"cpu\":%d,\"mem_mb\":0,\"gpu\":0}}]}",
                version, routes, KEY, capMillicores);
    }

    private String route(String name, String prefix) {
        return String.format(
                "{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"prefix\":\"%s\","
                        + "\"route_type\":\"unsafe\",\"timeout_ms\":3000,"
                        + "\"target_latency_ms\":3000,\"priority\":1,\"service\":\"svc\","
                        + "\"attempts\":3,\"stretch\":4.0,%s\"public\":false}",
                name, prefix, adviceField(timing));
    }

    private static String adviceField(AdviceStandin.Timing timing) {
        return timing == null
                ? ""
                : String.format(
                        "\"advice\":{\"decide_ms\":%s,\"each_ms\":%s,\"valid_ms\":%d},",
                        timing.decideMillis(), timing.eachMillis(), timing.validMillis());
    }

    private WorkerStandin.Listener runs() {
        return new WorkerStandin.Listener() {
            @Override
            public void started(WorkerStandin worker, String task, long run) {
                running.put(task + "/" + run, worker.id);
                synchronized (starts) {
                    starts.add(new Start(record.millis(), worker.id, task, run));
                }
                record.add("worker %s: starts %s run %d", worker.id, task, run);
            }

            @Override
            public void refused(WorkerStandin worker, String task) {
                record.add("worker %s: rejects the start of %s with 503", worker.id, task);
            }

            @Override
            public void ended(WorkerStandin worker, String task, long run, String how) {
                running.remove(task + "/" + run);
                record.add("worker %s: %s run %d ended %s", worker.id, task, run, how);
            }

            @Override
            public void noted(WorkerStandin worker, String task, long run, String how) {
                record.add("worker %s: the end of %s run %d is noted", worker.id, task, run);
                if (how.equals("failed")) {
                    failuresNoted.merge(task, 1, Integer::sum);
                }
            }
        };
    }

    static void await(String what, long millis, BooleanSupplier condition) throws Exception {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new CannotRun("no " + what + " within " + millis + " ms");
            }
            Thread.sleep(10);
        }
    }

    /** The case could not run, which says nothing about the rule. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    WorkerStandin worker(String id) {
        return workers.stream().filter(w -> w.id.equals(id)).findFirst().orElseThrow();
    }

    /** The entry that leads, by the logs; null if none does. */
    EntryProcess leader() {
        return entries.stream()
                .filter(e -> e.isAlive() && e.newestTerm() > 0)
                .max(Comparator.comparingLong(EntryProcess::newestTerm))
                .orElse(null);
    }

    EntryProcess anotherThan(EntryProcess entry) {
        return entries.stream().filter(e -> e != entry && e.isAlive()).findFirst().orElseThrow();
    }

    private boolean isReady(EntryProcess entry) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://127.0.0.1:"
                                                    + entry.readinessPort
                                                    + "/api/ready"))
                            .timeout(Duration.ofSeconds(1))
                            .build();
            return client.send(request, BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Makes a call as a client does; returns the status and body, status 0 for no answer. */
    String call(EntryProcess entry, String method, String job, String body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + entry.callersPort + "/q/" + job))
                        .header("Authorization", "Token " + KEY)
                        .header("Content-Type", "application/json")
                        .header("Timeout-Ms", "3000")
                        .timeout(Duration.ofMillis(3_000))
                        .method(method, BodyPublishers.ofString(body))
                        .build();
        String answer;
        try {
            HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
            answer = response.statusCode() + " " + response.body();
        } catch (IOException e) {
            answer = "0 no answer";
        }
        record.add("client: %s /q/%s at entry %d: %s", method, job, entry.number, answer);
        return answer;
    }

    /** Hands a job in, and repeats the call until it is accepted. */
    void submit(EntryProcess entry, String job, String steps, long millis) throws Exception {
        long runMillis = millis;
        String body = "{\"spec\":\"" + runMillis + "\",\"steps\":" + steps + "}";
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (!call(entry, "POST", job, body).startsWith("200")) {
            if (System.nanoTime() > deadline) {
                throw new CannotRun("job " + job + " is not accepted");
            }
            Thread.sleep(200);
        }
    }

    static String steps(int count, long millicores, long estimateMillis) {
        return String.format(
                "[{\"count\":%d,\"cpu\":%d,\"mem_mb\":256,\"est_ms\":%d}]",
                count, millicores, estimateMillis);
    }

    /** Returns how many tasks of {@code job} are at work. */
    long runningOf(String job) {
        return running.keySet().stream().filter(t -> t.startsWith(job)).count();
    }

    @Override
    public void close() throws IOException {
        entries.forEach(EntryProcess::close);
        workers.forEach(WorkerStandin::close);
        advice.close();
        store.close();
        client.shutdownNow();
        String logs = System.getenv("REVIEW_LOGS");
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                if (logs != null) {
                    Files.createDirectories(Path.of(logs));
                    Files.copy(
                            file,
                            Path.of(logs).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
