package org.jujubefork.standins.process;

import static org.jujubefork.standins.fleet.Fleets.epoch;
import static org.jujubefork.standins.fleet.Fleets.task;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.client.vms.VmListClient;
import org.jujubefork.client.vms.VmListing;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.StartResult;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.fleet.WorkerFleetMain;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.HistoryReader;
import org.jujubefork.standins.store.StoreMain;
import org.jujubefork.standins.vms.VmListMain;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against simulated services that don't start as processes, and against a {@link
 * ManagedProcess} that doesn't pause, resume, stop or kill its process.
 */
public final class ProcessesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_HEAP_MB = 64;

    private Path directory;
    private Transport transport;

    @BeforeMethod
    public void open() throws IOException {
        directory = Files.createTempDirectory("standins");
        transport = Transport.create(Duration.ofSeconds(10));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        transport.close();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    private ManagedProcess startStore(Path history) throws IOException {
        return ManagedProcess.start(
                ManagedProcess.Spec.of(
                        StoreMain.class,
                        MAX_HEAP_MB,
                        "--port",
                        "0",
                        "--history",
                        history.toString()));
    }

    private StoreClient client(ManagedProcess store) throws Exception {
        int port = store.awaitPort(Await.LIMIT);
        return new StoreClient(transport, Address.of("127.0.0.1", port));
    }

    private static WriteResult put(StoreClient client, String key, Duration timeout) {
        return client.put(key, new byte[3], OptionalLong.empty(), Optional.empty(), timeout);
    }

    @Test
    public void writeToPausedStoreIsUnknownAndAppliedAfterResume() throws Exception {
        Path history = directory.resolve("store.jsonl");
        try (ManagedProcess store = startStore(history)) {
            StoreClient client = client(store);
            assertEquals(put(client, "a", TIMEOUT), new WriteResult.Written(1));
            store.pause();
            WriteResult result = put(client, "b", Duration.ofMillis(500));
            assertTrue(result instanceof WriteResult.Unknown, result.toString());
            store.resume();
            // The store applies the write after it resumes, although the caller has timed out.
            Await.until(
                    "the write sent during the pause", () -> client.get("b", TIMEOUT).isPresent());
        }
        List<HistoryEvent> events = HistoryReader.read(history);
        assertEquals(events.stream().map(e -> e.text("key")).toList(), List.of("a", "b"));
        assertEquals(events.get(1).type(), EventType.STORE_WRITE);
        assertEquals(events.get(1).number("bytes"), 3);
    }

    @Test
    public void writeToKilledStoreIsNotSent() throws Exception {
        try (ManagedProcess store = startStore(directory.resolve("store.jsonl"))) {
            StoreClient client = client(store);
            store.kill();
            assertFalse(store.isAlive());
            WriteResult result = put(client, "a", TIMEOUT);
            assertTrue(result instanceof WriteResult.NotApplied, result.toString());
            assertThrows(IOException.class, store::pause);
        }
    }

    @Test
    public void terminateStopsProcess() throws Exception {
        try (ManagedProcess store = startStore(directory.resolve("store.jsonl"))) {
            client(store);
            // Exit code of a process that SIGTERM (15) ended: 128 + 15.
            assertEquals(store.terminate(TIMEOUT), 143);
        }
    }

    @Test
    public void closeKillsPausedProcess() throws Exception {
        ManagedProcess store = startStore(directory.resolve("store.jsonl"));
        try (store) {
            client(store);
            store.pause();
            assertThrows(TimeoutException.class, () -> store.terminate(Duration.ofMillis(200)));
        }
        assertFalse(store.isAlive());
        assertTrue(ProcessHandle.of(store.pid()).isEmpty(), "process still exists after close");
    }

    @Test
    public void startupFailureIsReportedWithOutput() throws Exception {
        try (ManagedProcess process =
                ManagedProcess.start(
                        ManagedProcess.Spec.of(StoreMain.class, MAX_HEAP_MB, "--no-such-flag"))) {
            IOException failure =
                    expectThrows(IOException.class, () -> process.awaitPort(Await.LIMIT));
            assertTrue(failure.getMessage().contains("no-such-flag"), failure.getMessage());
            assertTrue(process.awaitExit(TIMEOUT));
        }
    }

    @Test
    public void fleetAndVmListShareTheFleetFile() throws Exception {
        int port = freePort();
        Path fleetFile = directory.resolve("fleet.json");
        Files.writeString(
                fleetFile,
                "{\"workers\":[{\"id\":\"w1\",\"region\":\"leman\",\"zone\":\"leman-a\","
                        + "\"rack\":\"r1\",\"address\":\"127.0.0.1:"
                        + port
                        + "\",\"cpuMillis\":30000,\"memoryMb\":130000,\"accelerators\":0,"
                        + "\"slots\":8,\"connections\":64}],\"entries\":[]}");
        Path history = directory.resolve("fleet.jsonl");
        try (ManagedProcess fleet =
                        ManagedProcess.start(
                                ManagedProcess.Spec.of(
                                        WorkerFleetMain.class,
                                        MAX_HEAP_MB,
                                        "--fleet",
                                        fleetFile.toString(),
                                        "--history",
                                        history.toString(),
                                        "--usage-lag-millis",
                                        "0"));
                ManagedProcess vmList =
                        ManagedProcess.start(
                                ManagedProcess.Spec.of(
                                        VmListMain.class,
                                        MAX_HEAP_MB,
                                        "--fleet",
                                        fleetFile.toString()))) {
            fleet.awaitPort(Await.LIMIT);
            VmListClient vmListClient =
                    new VmListClient(
                            transport, Address.of("127.0.0.1", vmList.awaitPort(Await.LIMIT)));
            VmListing worker = vmListClient.list(TIMEOUT).get(0);
            assertEquals(worker.id(), "w1");
            startTask(worker.address());
        }
        assertEquals(
                HistoryReader.read(history).stream().map(HistoryEvent::type).toList(),
                List.of(EventType.WORKER, EventType.LEASE, EventType.START));
    }

    private void startTask(Address worker) {
        WorkerClient client = new WorkerClient(transport);
        LeaseResult.Granted granted =
                (LeaseResult.Granted) client.lease(worker, epoch(1, "entry-1"), TIMEOUT, TIMEOUT);
        StartResult started =
                client.start(
                        worker,
                        epoch(1, "entry-1"),
                        granted.incarnation(),
                        task("s", WorkKind.SERVICE, ""),
                        TIMEOUT);
        assertEquals(started, new StartResult.Started());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
