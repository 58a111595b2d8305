package org.jujubefork.standins.client;

import static org.jujubefork.standins.fleet.Fleets.bytes;
import static org.jujubefork.standins.fleet.Fleets.epoch;
import static org.jujubefork.standins.fleet.Fleets.task;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.ChunkSink;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.worker.CommandResult;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.RunningTask;
import org.jujubefork.client.worker.StartResult;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.fleet.Filler;
import org.jujubefork.standins.fleet.FleetOptions;
import org.jujubefork.standins.fleet.Fleets;
import org.jujubefork.standins.fleet.WorkerFleet;
import org.jujubefork.standins.history.HistorySink;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the worker protocol from end to end, and the wholeness of answers (P5). */
public final class WorkerClientTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration TTL = Duration.ofMinutes(10);
    private static final Epoch FIRST = epoch(1, "entry-1");

    private Transport transport;
    private WorkerFleet fleet;
    private WorkerClient client;
    private Address worker;

    @BeforeMethod
    public void open() throws Exception {
        transport = Transport.create(Duration.ofSeconds(10));
        FleetOptions options = new FleetOptions(0, Duration.ZERO, true, false);
        fleet = WorkerFleet.start(Fleets.workers(2), options, HistorySink.NONE);
        client = new WorkerClient(transport);
        worker = fleet.address("w1");
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        transport.close();
        fleet.close();
    }

    @Test
    public void leaseTellsWhatTheWorkerIs() {
        LeaseResult.Granted granted = lease(FIRST);
        assertEquals(granted.worker(), Optional.of(WorkerId.of("w1")));
        assertEquals(granted.capacity(), Fleets.CAPACITY);
        assertEquals(granted.slots(), 8);
        assertEquals(granted.running(), List.of());
        assertEquals(granted.ended(), List.of());
    }

    @Test
    public void successorTakesOverWithTheTasks() {
        long incarnation = lease(FIRST).incarnation();
        TaskSpec service = task("job/3#2", WorkKind.SERVICE, "");
        assertEquals(start(FIRST, incarnation, service), new StartResult.Started());
        Epoch second = epoch(2, "entry-2");
        List<RunningTask> running = lease(second).running();
        assertEquals(running.stream().map(RunningTask::spec).toList(), List.of(service));
        StartResult late = start(FIRST, incarnation, task("t2", WorkKind.BATCH, ""));
        assertEquals(
                late,
                new StartResult.Refused(
                        StartRefusal.STALE_EPOCH, Optional.of(second), "start refused"));
        assertEquals(client.lease(worker, FIRST, TTL, LONG), new LeaseResult.Refused(second));
        assertEquals(
                client.renew(worker, FIRST, TTL, List.of(), LONG), new LeaseResult.Refused(second));
        assertEquals(
                client.stop(worker, FIRST, service.id(), LONG), new CommandResult.Refused(second));
    }

    @Test
    public void endedTasksAreKeptUntilAcknowledged() {
        long incarnation = lease(FIRST).incarnation();
        TaskSpec failing =
                task("t1", WorkKind.BATCH, "{\"fail\":true,\"failMessage\":\"no input\"}");
        start(FIRST, incarnation, failing);
        EndedTask ended = renew().ended().get(0);
        assertEquals(ended.reason(), EndReason.FAILED);
        assertEquals(ended.message(), "no input");
        assertEquals(renew().ended().size(), 1);
        assertEquals(
                ((StartResult.Refused) start(FIRST, incarnation, failing)).reason(),
                StartRefusal.DUPLICATE);
        assertEquals(renew(TaskId.of("t1")).ended(), List.of());
    }

    @Test
    public void commandsReachTheirTask() {
        long incarnation = lease(FIRST).incarnation();
        String usage = "{\"usageCpuMillis\":900,\"usageMemoryMb\":500}";
        TaskSpec a = task("job/a:1#2", WorkKind.SERVICE, usage);
        TaskSpec b = task("b", WorkKind.SERVICE, usage);
        start(FIRST, incarnation, a);
        start(FIRST, incarnation, b);
        assertEquals(
                client.throttle(worker, FIRST, a.id(), 100, LONG), new CommandResult.Accepted());
        Resources limited =
                renew().running().stream()
                        .filter(t -> t.spec().id().equals(a.id()))
                        .findFirst()
                        .orElseThrow()
                        .usage();
        assertEquals(limited, Resources.of(100, 500, 0));
        assertEquals(client.checkpoint(worker, FIRST, a.id(), LONG), new CommandResult.Accepted());
        assertEquals(client.stop(worker, FIRST, b.id(), LONG), new CommandResult.Accepted());
        assertEquals(client.stop(worker, FIRST, b.id(), LONG), new CommandResult.NoSuchTask());
        List<EndedTask> ended = renew().ended();
        assertEquals(reason(ended, "job/a:1#2"), EndReason.CHECKPOINTED);
        assertEquals(reason(ended, "b"), EndReason.STOPPED);
    }

    private static EndReason reason(List<EndedTask> ended, String id) {
        return ended.stream()
                .filter(t -> t.spec().id().value().equals(id))
                .findFirst()
                .orElseThrow()
                .reason();
    }

    /** Several answers at once, of which one is larger than many chunks. */
    @Test
    public void requestsGetTheirWholeOwnAnswer() throws Exception {
        long incarnation = lease(FIRST).incarnation();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<CompletableFuture<Void>> calls = new ArrayList<>();
            int[] sizes = {0, 1, 65_536, 65_537, 1_000_000, 8 * 1024 * 1024 - 200};
            for (int size : sizes) {
                calls.add(
                        CompletableFuture.runAsync(
                                () -> requestAndCheck(incarnation, size), executor));
            }
            calls.forEach(CompletableFuture::join);
        }
    }

    private void requestAndCheck(long incarnation, int size) {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        String echo = "request of " + size + " \"quoted\" ü";
        JsonNode input =
                new ObjectMapper()
                        .createObjectNode()
                        .put("echo", echo)
                        .put("answerBytes", size)
                        .put("runMillis", 20);
        StartResult result =
                request(
                        incarnation,
                        "r" + size,
                        input.toString(),
                        chunk -> {
                            assertTrue(chunk.length <= ChunkSink.MAX_CHUNK_BYTES);
                            answer.writeBytes(chunk);
                        });
        assertEquals(result, new StartResult.Answered("application/json", answer.size()));
        try {
            JsonNode node = new ObjectMapper().readTree(answer.toByteArray());
            assertEquals(node.path("echo").asText(), echo);
            assertEquals(node.path("worker").asText(), "w1");
            assertEquals(node.path("taskId").asText(), "r" + size);
            assertTrue(Filler.matches(echo, size, node.path("filler").asText()));
        } catch (java.io.IOException e) {
            throw new AssertionError("answer of " + size + " is not JSON", e);
        }
    }

    @Test
    public void requestThatFailsEndsWithItsMessage() {
        long incarnation = lease(FIRST).incarnation();
        StartResult result =
                request(incarnation, "r", "{\"fail\":true,\"failMessage\":\"why\"}", c -> {});
        assertEquals(result, new StartResult.Ended(EndReason.FAILED, "why"));
    }

    @Test
    public void requestThatIsStoppedEnds() throws Exception {
        long incarnation = lease(FIRST).incarnation();
        CompletableFuture<StartResult> call =
                CompletableFuture.supplyAsync(
                        () -> request(incarnation, "r", "{\"runMillis\":600000}", c -> {}));
        Await.until("request runs", () -> renew().running().size() == 1);
        client.stop(worker, FIRST, TaskId.of("r"), LONG);
        assertEquals(call.join(), new StartResult.Ended(EndReason.STOPPED, ""));
    }

    @Test
    public void refusalsHaveTheirReason() throws Exception {
        long incarnation = lease(FIRST).incarnation();
        assertRefused(
                StartRefusal.WRONG_INCARNATION,
                start(FIRST, incarnation - 1, task("t", WorkKind.BATCH, "")));
        assertRefused(
                StartRefusal.NO_CAPACITY,
                start(FIRST, incarnation, task("t", WorkKind.BATCH, Resources.of(0, 0, 3), "")));
        List<CompletableFuture<StartResult>> running = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < 8; i++) {
                String id = "r" + i;
                running.add(
                        CompletableFuture.supplyAsync(
                                () -> request(incarnation, id, "{\"runMillis\":600000}", c -> {}),
                                executor));
            }
            Await.until("slots are in use", () -> renew().running().size() == 8);
            assertRefused(StartRefusal.NO_SLOT, request(incarnation, "r9", "{}", c -> {}));
            for (int i = 0; i < 8; i++) {
                client.stop(worker, FIRST, TaskId.of("r" + i), LONG);
            }
        }
        fleet.leaving("w1", true);
        assertTrue(renew().leaving());
        assertRefused(
                StartRefusal.LEAVING, start(FIRST, incarnation, task("t", WorkKind.BATCH, "")));
    }

    private static void assertRefused(StartRefusal expected, StartResult actual) {
        assertTrue(
                actual instanceof StartResult.Refused r && r.reason() == expected,
                expected + " expected: " + actual);
    }

    @Test
    public void requestsAndTasksOfJobsAreNotMixedUp() {
        assertThrows(
                IllegalArgumentException.class,
                () -> start(FIRST, 1, task("t", WorkKind.LOOKUP, "")));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        client.request(
                                worker,
                                FIRST,
                                1,
                                task("t", WorkKind.BATCH, ""),
                                new byte[0],
                                c -> {},
                                LONG));
    }

    private LeaseResult.Granted lease(Epoch epoch) {
        return (LeaseResult.Granted) client.lease(worker, epoch, TTL, LONG);
    }

    private LeaseResult.Granted renew(TaskId... acknowledged) {
        return (LeaseResult.Granted) client.renew(worker, FIRST, TTL, List.of(acknowledged), LONG);
    }

    private StartResult start(Epoch epoch, long incarnation, TaskSpec task) {
        return client.start(worker, epoch, incarnation, task, LONG);
    }

    private StartResult request(long incarnation, String id, String input, ChunkSink sink) {
        return client.request(
                worker,
                FIRST,
                incarnation,
                task(id, WorkKind.LOOKUP, Resources.of(10, 10, 0), ""),
                bytes(input),
                sink,
                LONG);
    }
}
