package org.jujubefork.standins.cell;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiClientSettings;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.ConfigApply;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.fleet.WorkerFleetMain;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.HistoryReader;
import org.jujubefork.standins.process.ManagedProcess;
import org.jujubefork.standins.process.TcpRelay;
import org.jujubefork.standins.store.StoreMain;
import org.jujubefork.standins.vms.VmListMain;

/**
 * A running cell whose services are separate processes. Closing it kills the processes and deletes
 * their files.
 */
public final class TestCell implements AutoCloseable {
    private static final int MAX_STANDIN_HEAP_MB = 96;
    private static final int CONNECTIONS_PER_WORKER = 64;

    /**
     * Entries that claim a shard at the same time may choose the same epoch number; the name of the
     * holder then breaks the tie.
     */
    private static final Comparator<HistoryEvent> EPOCH_ORDER =
            Comparator.<HistoryEvent>comparingLong(e -> e.number("epoch"))
                    .thenComparing(e -> e.text("holder"));

    private final CellPlan plan;
    private final Path directory;
    private final Deque<AutoCloseable> closeables = new ArrayDeque<>();
    private final List<EntryVm> entries = new ArrayList<>();
    private final Map<String, TcpRelay> workerRelays = new HashMap<>();
    private final Map<String, Integer> workerPorts = new HashMap<>();
    private int storePort;
    private int fleetPort;
    private int vmListPort;

    private TestCell(CellPlan plan) throws IOException {
        this.plan = plan;
        this.directory = Files.createTempDirectory("cluster-cell");
    }

    /** Starts a cell, applies its configuration and waits until every worker holds a lease. */
    public static TestCell start(CellPlan plan) throws Exception {
        return start(plan, false);
    }

    /** Starts a cell like {@link #start(CellPlan)}, whose entries can pause their peer traffic. */
    public static TestCell startWithPausablePeers(CellPlan plan) throws Exception {
        return start(plan, true);
    }

    private static TestCell start(CellPlan plan, boolean pausablePeers) throws Exception {
        TestCell cell = new TestCell(plan);
        try {
            cell.startStandins();
            cell.startEntries(pausablePeers);
            cell.apply(0, plan.configuration());
            cell.awaitLeases();
            return cell;
        } catch (Exception | AssertionError e) {
            cell.close();
            throw e;
        }
    }

    private ManagedProcess startStandin(Class<?> main, String... arguments) throws IOException {
        ManagedProcess process =
                ManagedProcess.start(ManagedProcess.Spec.of(main, MAX_STANDIN_HEAP_MB, arguments));
        closeables.push(process);
        return process;
    }

    private void startStandins() throws Exception {
        ManagedProcess store =
                startStandin(
                        StoreMain.class, "--history", directory.resolve("store.jsonl").toString());
        Map<String, Integer> listedPorts = new HashMap<>();
        for (CellPlan.Worker worker : plan.workers()) {
            int port = FreePorts.next();
            workerPorts.put(worker.id(), port);
            listedPorts.put(
                    worker.id(), plan.workerRelays() ? startRelay(worker.id(), port) : port);
        }
        List<String> flags = new ArrayList<>();
        flags.addAll(List.of("--fleet", fleetFile("fleet.json", workerPorts).toString()));
        flags.addAll(List.of("--history", fleetHistoryFile().toString()));
        flags.addAll(plan.fleetFlags());
        ManagedProcess fleet = startStandin(WorkerFleetMain.class, flags.toArray(String[]::new));
        ManagedProcess vms =
                startStandin(
                        VmListMain.class,
                        "--fleet",
                        fleetFile("listed.json", listedPorts).toString());
        storePort = store.awaitPort(Await.LIMIT);
        fleetPort = fleet.awaitPort(Await.LIMIT);
        vmListPort = vms.awaitPort(Await.LIMIT);
    }

    private int startRelay(String worker, int port) throws IOException {
        TcpRelay relay = TcpRelay.start(0, port);
        closeables.push(relay);
        workerRelays.put(worker, relay);
        return relay.port();
    }

    private void startEntries(boolean pausablePeers) throws Exception {
        for (CellPlan.Entry spec : plan.entries()) {
            EntryVm entry = EntryVm.of(spec, directory, storePort, pausablePeers);
            closeables.push(entry);
            entries.add(entry);
        }
        List<String> seeds = entries.stream().map(EntryVm::peerAddress).toList();
        for (EntryVm entry : entries) {
            entry.writeSettings(plan, vmListPort, seeds);
            entry.start();
        }
        for (EntryVm entry : entries) {
            entry.awaitReady();
        }
    }

    private Path fleetFile(String name, Map<String, Integer> ports) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        ArrayNode workers = root.putArray("workers");
        for (CellPlan.Worker worker : plan.workers()) {
            workers.addObject()
                    .put("id", worker.id())
                    .put("region", worker.region())
                    .put("zone", worker.zone())
                    .put("rack", worker.rack())
                    .put("address", "127.0.0.1:" + ports.get(worker.id()))
                    .put("cpuMillis", worker.capacity().cpuMillis())
                    .put("memoryMb", worker.capacity().memoryMb())
                    .put("accelerators", worker.capacity().accelerators())
                    .put("slots", worker.slots())
                    .put("connections", CONNECTIONS_PER_WORKER);
        }
        root.putArray("entries");
        return Files.writeString(directory.resolve(name), mapper.writeValueAsString(root));
    }

    /** Waits until every worker holds a lease while at least one entry process is alive. */
    public void awaitLeases() throws Exception {
        for (CellPlan.Worker worker : plan.workers()) {
            Await.until(
                    "lease of " + worker.id(),
                    () ->
                            controlWorker(worker.id(), "state", "").path("leased").asBoolean()
                                    && entries.stream().anyMatch(e -> e.process().isAlive()));
        }
    }

    /** Applies a configuration through the first entry that accepts connections. */
    public ApplyResult apply(long ifVersion, String base) throws Exception {
        try (ApiClient operator = client(0, Optional.of(plan.operatorKey()))) {
            return operator.apply(new ConfigApply(ifVersion, base, plan.overlays()));
        }
    }

    /** Applies a configuration through the first entry whose process is alive. */
    public ApplyResult applyThroughFirstLive(long ifVersion, String base) throws Exception {
        for (EntryVm entry : entries) {
            if (entry.process().isAlive()) {
                try (ApiClient operator = clientFor(entry, Optional.of(plan.operatorKey()))) {
                    return operator.apply(new ConfigApply(ifVersion, base, plan.overlays()));
                }
            }
        }
        throw new IOException("no entry process is alive");
    }

    /** Returns a client that tries the entries in order, beginning with index {@code first}. */
    public ApiClient client(int first, Optional<String> key) {
        return ApiClient.of(ApiClientSettings.of(addressesStartingAt(first), key));
    }

    /** Returns a client that sends all its calls to one entry. */
    public ApiClient clientFor(EntryVm entry, Optional<String> key) {
        return ApiClient.of(ApiClientSettings.of(List.of(entry.httpAddress()), key));
    }

    List<String> addressesStartingAt(int first) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            addresses.add(entries.get((first + i) % entries.size()).httpAddress());
        }
        return List.copyOf(addresses);
    }

    public CellPlan plan() {
        return plan;
    }

    public List<EntryVm> entries() {
        return List.copyOf(entries);
    }

    public EntryVm entry(int index) {
        return entries.get(index);
    }

    /**
     * Returns the entry that holds the lease with the highest epoch of a worker; it need not be
     * alive.
     */
    public EntryVm ownerOf(String worker) throws IOException {
        String holder =
                fleetHistory().stream()
                        .filter(e -> e.type() == org.jujubefork.standins.history.EventType.LEASE)
                        .filter(e -> e.text("worker").equals(worker))
                        .max(EPOCH_ORDER)
                        .orElseThrow()
                        .text("holder");
        return entries.stream()
                .filter(e -> holder.startsWith(e.name() + "#"))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Sends a control action to a simulated worker and returns the JSON response.
     *
     * @param query query string with its question mark; empty for none
     */
    public com.fasterxml.jackson.databind.JsonNode controlWorker(
            String id, String action, String query) throws IOException, InterruptedException {
        return ControlClient.post(fleetPort, "/control/workers/" + id + "/" + action + query);
    }

    /** Switches a fault of the simulated store on or off, for example {@code outage?on=true}. */
    public void controlStore(String faultAndQuery) throws IOException, InterruptedException {
        ControlClient.post(storePort, "/control/" + faultAndQuery);
    }

    /** Marks a VM as leaving in the VM list. */
    public void markVmAsLeaving(String id) throws IOException, InterruptedException {
        ControlClient.post(vmListPort, "/control/vms/leaving?id=" + id + "&on=true");
    }

    /** Returns the address that a worker listens on, which bypasses its relay. */
    public String workerAddress(String worker) {
        return "127.0.0.1:" + workerPorts.get(worker);
    }

    /** Returns the relay of a worker; null if the plan has no worker relays. */
    public TcpRelay workerRelay(String worker) {
        return workerRelays.get(worker);
    }

    public Path fleetHistoryFile() {
        return directory.resolve("fleet.jsonl");
    }

    /** Returns the events that the workers have recorded so far. */
    public List<HistoryEvent> fleetHistory() throws IOException {
        return HistoryReader.read(fleetHistoryFile());
    }

    public List<HistoryEvent> storeHistory() throws IOException {
        return HistoryReader.read(directory.resolve("store.jsonl"));
    }

    /** Returns the metrics page of an entry. */
    public String metrics(EntryVm entry) throws IOException, InterruptedException {
        return ControlClient.fetchText(entry.httpAddress(), "/metrics");
    }

    @Override
    public void close() throws Exception {
        while (!closeables.isEmpty()) {
            closeables.pop().close();
        }
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
