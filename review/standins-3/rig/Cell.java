package rig;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import rig.Http.Answer;

/** The project's daemons, started with the commands of the deploy file, around stand-ins of the platform. */
public final class Cell implements AutoCloseable {
    public static final String KEY = "key-of-the-tenant";
    public static final String OTHER_KEY = "key-of-the-other-tenant";
    public static final String HOST = "queue.example";

    /** A daemon and its addresses. */
    public static final class Daemon {
        public final String name;
        public final int front;
        public final int ready;
        public final Path settings;
        public final Path log;
        public Process process;

        Daemon(String name, int front, int ready, Path settings, Path log) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.settings = settings;
            this.log = log;
        }
    }

    public final Store store;
    public final List<Daemon> daemons = new ArrayList<>();
    private final Path root;
    private final Path directory;
    private final Http advice;
    /** Whether each daemon gets one core, as the machines of DEPLOY.md have. */
    public boolean oneCore;

    private final Set<Integer> takenPorts = new HashSet<>();
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    public Cell(Path root, int daemonCount) throws IOException {
        this.root = root;
        this.store = new Store();
        this.directory = Files.createTempDirectory("review-3-");
        this.advice = new Http(0, Cell::advise);
        String[] zones = {"z1", "z2", "z3"};
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(daemon("edge-" + zones[i % 3] + "-" + i, zones[i % 3]));
        }
    }

    private static Answer advise(Http.Request request) {
        Answer answer = Answer.of(200);
        ArrayNode good = answer.body().putArray("good");
        request.body().path("workers").forEach(w -> good.addArray().add(w.asText()).add("ticket-" + w.asText()));
        return answer;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (takenPorts.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (BindException e) {
                // The port is in use.
            }
        }
    }

    private Daemon daemon(String name, String zone) throws IOException {
        int front = freePort();
        int ready = freePort();
        int peers = freePort();
        Map<String, String> fields =
                Map.ofEntries(
                        Map.entry("node_name", name),
                        Map.entry("zone", zone),
                        Map.entry("limits.cores", "1"),
                        Map.entry("limits.cpu_share", "0.75"),
                        Map.entry("listen.front", "127.0.0.1:" + front),
                        Map.entry("listen.ready", "127.0.0.1:" + ready),
                        Map.entry("ip", "127.0.0.1"),
                        Map.entry("port_range.0", Integer.toString(peers)),
                        Map.entry("platform.address", zone.equals("z1") ? store.address() : store.farAddress()),
                        Map.entry("advice", advice.address()),
                        Map.entry("platform.ttl_min_ms", "1000"),
                        Map.entry("bounds.grace_s", "6"),
                        Map.entry("bounds.revoke_ms", "5000"));
        String template = Files.readString(root.resolve("deploy/settings.jsonc"));
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(template);
        String text = matcher.replaceAll(m -> Matcher.quoteReplacement(fields.getOrDefault(m.group(1), "")));
        Path settings = directory.resolve(name + ".jsonc");
        Files.writeString(settings, text);
        return new Daemon(name, front, ready, settings, directory.resolve(name + ".log"));
    }

    /** Starts a daemon with the run line of the deploy file. */
    public void start(Daemon daemon) throws IOException {
        String run =
                Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                        .filter(l -> l.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        List<String> words = new ArrayList<>(Arrays.asList(command.split(" ")));
        words.set(0, root.resolve(words.get(0)).toString());
        if (oneCore) {
            int core = daemons.indexOf(daemon) % Runtime.getRuntime().availableProcessors();
            words.addAll(0, List.of("taskset", "-c", Integer.toString(core)));
        }
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("JUJUBEFORK_CONFIG", daemon.settings.toString());
        environment.put("JUJUBE_EVACUATION_MILLIS", "");
        daemon.process = builder.start();
    }

    public void startAll() throws Exception {
        for (Daemon daemon : daemons) {
            start(daemon);
        }
        for (Daemon daemon : daemons) {
            awaitReady(daemon, 30_000);
        }
    }

    public void awaitReady(Daemon daemon, long millis) throws Exception {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (readiness(daemon) != 200) {
            if (!daemon.process.isAlive()) {
                // The platform starts a process that has ended again.
                start(daemon);
            }
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException(daemon.name + " is not ready");
            }
            Thread.sleep(50);
        }
    }

    private int readiness(Daemon daemon) throws InterruptedException {
        try {
            return client.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.ready + "/api/ready"))
                                    .timeout(Duration.ofSeconds(1))
                                    .build(),
                            BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends a signal, such as STOP, CONT, TERM or HUP, to a process that this cell has started. */
    public static void signal(Daemon daemon, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(daemon.process.pid())).start().waitFor();
    }

    /** Returns the daemon that has logged last that it leads, or null. */
    public Daemon leader() throws IOException {
        byte[] record = store.get("jujube/leader");
        if (record == null) {
            return null;
        }
        String text = new String(record, StandardCharsets.ISO_8859_1);
        return daemons.stream().filter(d -> text.contains(d.name)).findFirst().orElse(null);
    }

    /** Makes a call of a client; returns the status and the body, or status 0 if there was no answer. */
    public record Reply(int status, String body) {}

    public Reply call(Daemon daemon, String method, String path, String body) throws InterruptedException {
        return call(daemon, method, path, body, KEY, 3_000);
    }

    public Reply call(Daemon daemon, String method, String path, String body, String key, long timeoutMillis)
            throws InterruptedException {
        try (RawCall call = new RawCall(daemon.front)) {
            return call.send(method, path, body, key, timeoutMillis);
        } catch (IOException e) {
            return new Reply(0, e.toString());
        }
    }

    /** Returns the lines of all logs that contain {@code text}. */
    public List<String> logLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (Daemon daemon : daemons) {
            if (Files.exists(daemon.log)) {
                try (Stream<String> all = Files.lines(daemon.log, StandardCharsets.ISO_8859_1)) {
                    all.filter(l -> l.contains(text)).forEach(l -> lines.add(daemon.name + ": " + l));
                }
            }
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
                try {
                    daemon.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        advice.close();
        store.close();
        client.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println("logs in " + directory);
        }
    }
}
