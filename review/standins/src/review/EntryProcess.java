package review;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry as a separate process, started with the command of the deploy file and with settings
 * filled in from the template of the deploy file.
 */
final class EntryProcess implements AutoCloseable {
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern LEAD_LINE = Pattern.compile("event=lead subject=(\\d+) ");

    private static final int LOWEST_PORT = 18_000;
    private static final int HIGHEST_PORT = 30_000;
    private static final Set<Integer> CHOSEN = ConcurrentHashMap.newKeySet();
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        // Whatever ends the case, no entry is left behind.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    final int number;
    final int callersPort = freePort();
    final int readinessPort = freePort();
    private final Process process;
    private volatile long newestTerm;

    private EntryProcess(int number, Path directory, String store, String advice)
            throws IOException {
        this.number = number;
        String settings =
                Files.readString(Path.of("deploy/settings.jsonc"))
                        .replace("{{node_name}}", "edge-zone-a-" + number)
                        .replace("{{zone}}", "zone-a")
                        .replace("{{limits.cores}}", "1")
                        .replace("{{limits.cpu_share}}", "0.75")
                        .replace("{{listen.front}}", "127.0.0.1:" + callersPort)
                        .replace("{{listen.ready}}", "127.0.0.1:" + readinessPort)
                        .replace("{{ip}}:{{port_range.0}}", "127.0.0.1:" + freePort())
                        .replace("{{platform.address}}", store)
                        .replace("{{advice}}", advice)
                        .replace("{{platform.ttl_min_ms}}", "1000")
                        .replace("{{bounds.grace_s}}", "6")
                        .replace("{{bounds.revoke_ms}}", "5000");
        Path settingsFile = directory.resolve("entry-" + number + ".jsonc");
        settingsFile.toFile().deleteOnExit();
        Files.writeString(settingsFile, settings);
        Matcher run = RUN_LINE.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        ProcessBuilder builder =
                new ProcessBuilder(List.of(run.group(1).split(" "))).redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("JUJUBEFORK_CONFIG", settingsFile.toString());
        process = builder.start();
        STARTED.add(process);
        File log = directory.resolve("entry-" + number + ".log").toFile();
        log.deleteOnExit();
        Thread.ofVirtual().start(() -> readOutput(log.toPath()));
    }

    static EntryProcess start(int number, Path directory, String store, String advice)
            throws IOException {
        return new EntryProcess(number, directory, store, advice);
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            if (!CHOSEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (IOException e) {
                // Another process uses the port.
                continue;
            }
        }
    }

    private void readOutput(Path log) {
        try (BufferedReader lines = process.inputReader();
                var out = Files.newBufferedWriter(log)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                out.write(line);
                out.newLine();
                out.flush();
                Matcher lead = LEAD_LINE.matcher(line);
                if (lead.find()) {
                    newestTerm = Long.parseLong(lead.group(1));
                }
            }
        } catch (IOException e) {
            // The process has ended.
            return;
        }
    }

    /** The newest term in which this entry has led, by its log; 0 for none. */
    long newestTerm() {
        return newestTerm;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal, such as STOP, CONT or KILL. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
