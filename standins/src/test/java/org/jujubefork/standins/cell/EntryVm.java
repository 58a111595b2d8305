package org.jujubefork.standins.cell;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.jujubefork.entry.EntryMain;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.process.ManagedProcess;
import org.jujubefork.standins.process.TcpRelay;

/**
 * An entry VM of a test cell: settings, relay to the store, and a process that can be restarted.
 */
public final class EntryVm implements AutoCloseable {
    /** System property with additional JVM flags of entries, separated by spaces. */
    public static final String JVM_FLAGS_PROPERTY = "jujubefork.entryFlags";

    // The same limits as in bin/jujube-entry.
    private static final int MAX_HEAP_MB = 40;
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-Xms20m",
                    "-Xmn8m",
                    "-XX:MinHeapFreeRatio=20",
                    "-XX:MaxHeapFreeRatio=40",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=16m",
                    "-XX:MaxDirectMemorySize=8m",
                    "-Xss512k",
                    "--sun-misc-unsafe-memory-access=allow",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseCompactObjectHeaders",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-XX:-UsePerfData",
                    "-Djdk.virtualThreadScheduler.parallelism=2",
                    "-Djdk.httpclient.bufsize=4096",
                    "-Djdk.httpclient.connectionPoolSize=256",
                    "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");

    private final CellPlan.Entry spec;
    private final int httpPort;
    private final int peerPort;
    private final TcpRelay storeRelay;
    private final Path settingsFile;
    private final ManagedProcess.Spec processSpec;
    private final boolean pausablePeers;
    private ManagedProcess process;
    private int controlPort;

    private EntryVm(
            CellPlan.Entry spec,
            int httpPort,
            int peerPort,
            TcpRelay storeRelay,
            Path settingsFile,
            boolean pausablePeers) {
        this.spec = spec;
        this.httpPort = httpPort;
        this.peerPort = peerPort;
        this.storeRelay = storeRelay;
        this.settingsFile = settingsFile;
        this.pausablePeers = pausablePeers;
        this.processSpec =
                new ManagedProcess.Spec(
                        pausablePeers
                                ? PausablePeersEntryMain.class.getName()
                                : EntryMain.class.getName(),
                        "",
                        MAX_HEAP_MB,
                        flags(),
                        pausablePeers
                                ? List.of(settingsFile.toString())
                                : List.of("--settings", settingsFile.toString()));
    }

    private static List<String> flags() {
        List<String> result = new ArrayList<>(JVM_FLAGS);
        String extraFlags = System.getProperty(JVM_FLAGS_PROPERTY, "");
        // If a flag is given twice, the JVM uses the last value.
        result.addAll(extraFlags.isBlank() ? List.of() : List.of(extraFlags.trim().split(" +")));
        return List.copyOf(result);
    }

    /** Allocates ports and opens the relay to the store without starting the process. */
    static EntryVm of(CellPlan.Entry spec, Path directory, int storePort, boolean pausablePeers)
            throws IOException {
        return new EntryVm(
                spec,
                FreePorts.next(),
                FreePorts.next(),
                TcpRelay.start(0, storePort),
                directory.resolve(spec.name() + ".jsonc"),
                pausablePeers);
    }

    /** Writes the settings file; {@code seeds} are the peer addresses of all entries. */
    void writeSettings(CellPlan plan, int vmListPort, List<String> seeds) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode node =
                mapper.createObjectNode()
                        .put("name", spec.name())
                        .put("region", spec.region())
                        .put("zone", spec.zone())
                        .put("httpAddress", httpAddress())
                        .put("peerAddress", peerAddress())
                        .put("storeAddress", "127.0.0.1:" + storeRelay.port())
                        .put("vmListAddress", "127.0.0.1:" + vmListPort);
        seeds.forEach(node.putArray("seeds")::add);
        plan.settings().forEach(node::put);
        Files.writeString(settingsFile, mapper.writeValueAsString(node));
    }

    /** Starts the process, also after the previous one was killed or has exited. */
    public void start() throws IOException {
        process = ManagedProcess.start(processSpec);
    }

    /** Waits until the entry has printed its ready line. */
    public void awaitReady() throws IOException, InterruptedException, TimeoutException {
        String line = process.awaitLine("ready ", Await.LIMIT);
        if (pausablePeers) {
            controlPort = Integer.parseInt(line.substring(line.indexOf("port=") + 5));
        }
    }

    public String name() {
        return spec.name();
    }

    public String zone() {
        return spec.zone();
    }

    public String httpAddress() {
        return "127.0.0.1:" + httpPort;
    }

    String peerAddress() {
        return "127.0.0.1:" + peerPort;
    }

    public ManagedProcess process() {
        return process;
    }

    public void kill() throws InterruptedException {
        process.kill();
    }

    public int terminate(Duration limit) throws InterruptedException, TimeoutException {
        return process.terminate(limit);
    }

    /** Disconnects the entry from the store, or reconnects it. */
    public void setStoreDisconnected(boolean disconnected) throws IOException {
        if (disconnected) {
            storeRelay.refuseNewConnections();
            storeRelay.resetConnections();
        } else {
            storeRelay.acceptNewConnections();
        }
    }

    /** Pauses or resumes the delivery of all peer traffic to this entry. */
    public void setPeersPaused(boolean paused) throws IOException, InterruptedException {
        ControlClient.post(controlPort, "/peers?on=" + paused);
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.close();
        }
        storeRelay.close();
    }
}
