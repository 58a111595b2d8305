package review2;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import review2.Server.Answer;

/** Entries as real processes, started with the run line of the deploy file, and the platform. */
final class Cell implements AutoCloseable {
    /** A loopback address of this case alone, so that cases that run at the same time share no port. */
    static final String HOST =
            "127.%d.%d.%d"
                    .formatted(
                            ThreadLocalRandom.current().nextInt(1, 250),
                            ThreadLocalRandom.current().nextInt(1, 250),
                            ThreadLocalRandom.current().nextInt(1, 250));

    private static final long HEARTBEAT_MILLIS = 1_500;

    /** An entry process. */
    static final class Entry {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        final int peers = freePort();
        final Path settings;
        Process process;

        Entry(String name, Path directory) {
            this.name = name;
            this.settings = directory.resolve(name + ".jsonc");
        }
    }

    final Store store = new Store();
    final List<Worker> workers = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    private final Server advice;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofMillis(1_000)).build();
    private final Path directory = Files.createTempDirectory("review2");
    private final Map<Worker, Double> lastBeat = new HashMap<>();
    private volatile boolean open = true;

    Cell(String configuration) throws Exception {
        // No queue of the cases needs advice, but the settings name its service.
        advice = new Server(0, request -> Answer.of(404));
        store.put("op/config", configuration.replace("HOST", HOST));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Thread.ofPlatform().daemon().start(this::beat);
        Thread.ofPlatform().daemon().start(this::advance);
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; the next one may be free.
                continue;
            }
        }
    }

    /** Adds a worker and registers it. */
    synchronized Worker addWorker(String id, int cpu) throws IOException {
        Worker worker = new Worker(id, cpu);
        worker.begin();
        workers.add(worker);
        register(worker);
        return worker;
    }

    synchronized void register(Worker worker) {
        lastBeat.put(worker, Record.seconds());
        store.put(worker.key(), worker.entry());
    }

    /** Workers that live and reach the store write there; others lapse after three intervals. */
    private void beat() {
        while (open) {
            synchronized (this) {
                for (Worker worker : workers) {
                    double silent = Record.seconds() - lastBeat.get(worker);
                    if (worker.up && !worker.cut && silent >= HEARTBEAT_MILLIS / 1e3) {
                        register(worker);
                    } else if (silent > 3 * HEARTBEAT_MILLIS / 1e3 && !store.text(worker.key()).isEmpty()) {
                        Record.line("entry of worker " + worker.id + " is removed");
                        store.remove(worker.key());
                    }
                }
            }
            sleep(50);
        }
    }

    private void advance() {
        while (open) {
            for (Worker worker : List.copyOf(workers)) {
                worker.advance();
            }
            sleep(5);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    Entry addEntry(String name) throws IOException {
        Entry entry = new Entry(name, directory);
        entries.add(entry);
        return entry;
    }

    /** Fills in the settings template and starts the process. */
    void start(Entry entry) throws IOException {
        Map<String, String> values = new HashMap<>();
        values.put("node_name", entry.name);
        values.put("zone", "z");
        values.put("limits.cores", "1");
        values.put("limits.cpu_share", "0.75");
        values.put("listen.front", HOST + ":" + entry.callers);
        values.put("listen.ready", HOST + ":" + entry.readiness);
        values.put("ip", HOST);
        values.put("port_range.0", Integer.toString(entry.peers));
        values.put("platform.address", store.address());
        values.put("advice", HOST + ":" + advice.port);
        values.put("platform.ttl_min_ms", "1000");
        values.put("bounds.grace_s", "6");
        values.put("bounds.revoke_ms", "5000");
        Matcher holes =
                Pattern.compile("\\{\\{([a-z0-9_.]+)\\}\\}")
                        .matcher(Files.readString(Path.of("deploy/settings.jsonc")));
        Files.writeString(
                entry.settings,
                holes.replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1)))));
        String run =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(l -> l.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("JUJUBEFORK_CONFIG", entry.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(new File(directory.toFile(), entry.name + ".log")));
        entry.process = builder.start();
        Record.line("entry " + entry.name + " is started");
    }

    boolean isReady(Entry entry) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + entry.readiness + "/api/ready"))
                            .timeout(Duration.ofSeconds(1))
                            .build();
            return client.send(request, BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the entry whose record of leadership the store holds. */
    Entry leader() {
        String record = store.text("jujube/leader");
        return entries.stream().filter(e -> record.contains(e.name)).findFirst().orElse(null);
    }

    /** Waits until {@code condition} holds, and returns whether it did within the time. */
    static boolean await(double seconds, BooleanSupplier condition) {
        double deadline = Record.seconds() + seconds;
        while (Record.seconds() < deadline) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(20);
        }
        return condition.getAsBoolean();
    }

    /** Like {@link #await}, but the case could not run if the condition does not come to hold. */
    static void require(double seconds, String what, BooleanSupplier condition) {
        if (!await(seconds, condition)) {
            throw new IllegalStateException("not reached: " + what);
        }
    }

    /** Makes a call and returns its status, 0 without an answer. */
    int call(Entry entry, String method, String path, String key, String body) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + entry.callers + path))
                            .header("Authorization", "Token " + key)
                            .header("Timeout-Ms", "3000")
                            .header("Content-Type", "application/json")
                            .timeout(Duration.ofSeconds(4))
                            .method(method, BodyPublishers.ofString(body))
                            .build();
            HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
            Record.line(
                    method + " " + path + " at " + entry.name + ": " + response.statusCode() + " "
                            + response.body() + "   " + body);
            return response.statusCode();
        } catch (IOException e) {
            Record.line(method + " " + path + " at " + entry.name + ": no answer, " + e);
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Asks for the number of waiting jobs; -1 without an answer. */
    int waiting(Entry entry, String path, String key) throws InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + entry.callers + path))
                            .header("Authorization", "Token " + key)
                            .timeout(Duration.ofSeconds(4))
                            .build();
            HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
            return response.statusCode() == 200
                    ? Server.MAPPER.readTree(response.body()).path("waiting").asInt(-1)
                    : -1;
        } catch (IOException e) {
            return -1;
        }
    }

    /** Submits a job as a client does, with up to four retries at the other entries. */
    boolean submit(String path, String key, String body) {
        for (int i = 0; i < 5; i++) {
            int status = call(entries.get(i % entries.size()), "POST", path, key, body);
            if (status / 100 == 2) {
                return true;
            }
            sleep(1_000);
        }
        return false;
    }

    static List<Worker.Run> runs(String job) {
        synchronized (Worker.RUNS) {
            return Worker.RUNS.stream().filter(r -> r.task.startsWith(job)).toList();
        }
    }

    static long active(String job) {
        return runs(job).stream().filter(r -> r.endedAt < 0).count();
    }

    /** Ends all processes that this case has started, and removes its folder. */
    private synchronized void killAll() {
        open = false;
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly().onExit().join();
            }
        }
        File[] files = directory.toFile().listFiles();
        if (files != null) {
            for (File file : files) {
                file.delete();
            }
        }
        directory.toFile().delete();
    }

    @Override
    public void close() {
        killAll();
        store.close();
        advice.close();
    }
}
