package org.jujubefork.standins.client;

import static org.jujubefork.standins.fleet.Fleets.bytes;
import static org.jujubefork.standins.fleet.Fleets.epoch;
import static org.jujubefork.standins.fleet.Fleets.task;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.StartResult;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.fleet.FleetOptions;
import org.jujubefork.standins.fleet.Fleets;
import org.jujubefork.standins.fleet.WorkerFleet;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryRecorder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a start whose outcome is reported as known although it is not (P6, P7). */
public final class WorkerFaultsTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration TTL = Duration.ofMinutes(10);
    private static final Epoch FIRST = epoch(1, "entry-1");

    private HistoryRecorder history;
    private Transport transport;
    private WorkerFleet fleet;
    private WorkerClient client;
    private Address worker;
    private long incarnation;

    @BeforeMethod
    public void open() throws Exception {
        history = new HistoryRecorder();
        transport = Transport.create(Duration.ofSeconds(10));
        fleet = WorkerFleet.start(Fleets.workers(2), FleetOptions.defaults(), history);
        client = new WorkerClient(transport);
        worker = fleet.address("w1");
        incarnation = ((LeaseResult.Granted) client.lease(worker, FIRST, TTL, LONG)).incarnation();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        transport.close();
        fleet.close();
    }

    /**
     * Opens a new transport. A call over a kept connection that the worker is closing has an
     * unknown outcome, whatever else the worker would answer.
     */
    private void dropKeptConnections() {
        transport.close();
        transport = Transport.create(Duration.ofSeconds(10));
        client = new WorkerClient(transport);
    }

    @Test
    public void lostAnswerIsUnknownAndTheTaskRan() {
        fleet.loseAnswers("w1", 2);
        assertTrue(start("t1") instanceof StartResult.Unknown);
        assertTrue(request("r1", "{\"idempotencyKey\":\"k\"}") instanceof StartResult.Unknown);
        assertEquals(start("t2"), new StartResult.Started());
        assertEquals(count(EventType.START), 3);
    }

    @Test
    public void cutWorkerIsNotConnectedUntilItIsRestored() throws Exception {
        fleet.cut("w1");
        dropKeptConnections();
        StartResult result = start("t1");
        assertTrue(result instanceof StartResult.NotConnected, result.toString());
        assertTrue(
                client.renew(worker, FIRST, TTL, List.of(), LONG)
                        instanceof LeaseResult.NotConnected);
        assertTrue(
                client.lease(fleet.address("w2"), FIRST, TTL, LONG) instanceof LeaseResult.Granted,
                "another worker was cut too");
        fleet.restore("w1");
        assertEquals(start("t1"), new StartResult.Started());
    }

    /** A port that was closed a moment ago can still be in use by the closed socket. */
    @Test
    public void workerCanBeRestartedManyTimes() throws Exception {
        for (int i = 0; i < 50; i++) {
            fleet.restart("w1");
            dropKeptConnections();
            LeaseResult result = client.lease(worker, FIRST, TTL, LONG);
            assertTrue(result instanceof LeaseResult.Granted, result.toString());
        }
    }

    @Test
    public void cutDuringARequestIsUnknown() throws Exception {
        CompletableFuture<StartResult> call =
                CompletableFuture.supplyAsync(() -> request("r1", "{\"runMillis\":600000}"));
        Await.until("request runs", () -> count(EventType.START) == 1);
        fleet.cut("w1");
        StartResult result = call.join();
        assertTrue(result instanceof StartResult.Unknown, result.toString());
        assertEquals(count(EventType.END), 0);
    }

    @Test
    public void delayedAnswerIsUnknown() {
        fleet.delayMillis("w1", 60_000);
        StartResult result =
                client.start(
                        worker,
                        FIRST,
                        incarnation,
                        task("t1", WorkKind.BATCH, ""),
                        Duration.ofMillis(300));
        assertTrue(result instanceof StartResult.Unknown, result.toString());
    }

    @Test
    public void restartLosesTasksAndChangesTheIncarnation() throws Exception {
        client.start(worker, FIRST, incarnation, task("s", WorkKind.SERVICE, ""), LONG);
        fleet.restart("w1");
        dropKeptConnections();
        LeaseResult renewed = client.renew(worker, FIRST, TTL, List.of(), LONG);
        long now = ((LeaseResult.NoLease) renewed).incarnation();
        assertNotEquals(now, incarnation);
        assertRefused(StartRefusal.WRONG_INCARNATION, start("t1"));
        LeaseResult.Granted granted = (LeaseResult.Granted) client.lease(worker, FIRST, TTL, LONG);
        assertEquals(granted.running(), List.of());
        assertEquals(granted.incarnation(), now);
        assertEquals(history.events().stream().filter(e -> isLost(e.text("reason"))).count(), 1);
    }

    private static boolean isLost(String reason) {
        return reason.equals("RESTARTED");
    }

    @Test
    public void failingWorkerFailsEachTaskAtItsStart() {
        fleet.failStarts("w1", true);
        assertEquals(start("t1"), new StartResult.Started());
        assertEquals(
                request("r1", "{\"runMillis\":600000}"),
                new StartResult.Ended(EndReason.FAILED, "start failed"));
        fleet.failStarts("w1", false);
        assertTrue(request("r2", "{}") instanceof StartResult.Answered);
    }

    @Test
    public void tasksStopWhenTheLeaseLapses() throws Exception {
        client.start(worker, FIRST, incarnation, task("s", WorkKind.SERVICE, ""), LONG);
        client.lease(worker, FIRST, Duration.ofMillis(100), LONG);
        Await.until("the worker stops its task", () -> count(EventType.END) == 1);
        StartResult refused = start("t1");
        assertRefused(StartRefusal.STALE_EPOCH, refused);
        assertEquals(((StartResult.Refused) refused).current().orElseThrow(), FIRST);
        assertEquals(
                client.renew(worker, FIRST, TTL, List.of(), LONG),
                new LeaseResult.NoLease(incarnation));
        LeaseResult.Granted again = (LeaseResult.Granted) client.lease(worker, FIRST, TTL, LONG);
        assertEquals(again.ended().get(0).reason(), EndReason.LEASE_EXPIRED);
        assertEquals(start("t1"), new StartResult.Started());
    }

    @Test
    public void overcommitIsAcceptedAndRecorded() {
        Resources most = Fleets.CAPACITY.minus(Fleets.SIZE);
        assertEquals(
                client.start(
                        worker, FIRST, incarnation, task("s1", WorkKind.SERVICE, most, ""), LONG),
                new StartResult.Started());
        assertEquals(count(EventType.OVERCOMMIT), 0);
        assertEquals(
                client.start(
                        worker, FIRST, incarnation, task("s2", WorkKind.SERVICE, most, ""), LONG),
                new StartResult.Started());
        assertEquals(count(EventType.OVERCOMMIT), 1);
    }

    @Test
    public void connectionsAboveTheLimitAreClosed() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            // The worker may see the client's own connection too, so that 64 more are too many.
            for (int i = 0; i < 65; i++) {
                sockets.add(new Socket(InetAddress.getLoopbackAddress(), worker.port()));
            }
            Await.until("a connection is closed", () -> sockets.stream().anyMatch(this::isClosed));
            long closed = sockets.stream().filter(this::isClosed).count();
            assertTrue(closed <= 2, closed + " connections are closed");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private boolean isClosed(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @DataProvider
    public Object[][] misleadingAnswers() {
        return new Object[][] {
            {"409 Conflict", "{\"error\":\"NO_CAPACITY\"}"},
            {"503 Service Unavailable", "{\"error\":\"STALE_EPOCH\"}"},
            {"503 Service Unavailable", "overloaded"},
            {"500 Internal Server Error", "{\"error\":\"TASK_ENDED\"}"},
            {"404 Not Found", "{\"error\":\"NO_SUCH_RESOURCE\"}"},
            {"409 Conflict", "{\"error\":\"STALE_EPOCH\",\"epoch\":\"x\"}"},
            {"200 OK", "{}"},
            {"204 No Content", ""}
        };
    }

    /** A refusal that a proxy or a faulty worker might have made up proves nothing. */
    @Test(dataProvider = "misleadingAnswers")
    public void answerThatIsNotUnderstoodIsUnknown(String status, String body) throws Exception {
        String answer =
                "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (RawServer server = new RawServer((n, socket) -> RawServer.write(socket, answer))) {
            StartResult result =
                    client.start(
                            server.address(),
                            FIRST,
                            incarnation,
                            task("t1", WorkKind.BATCH, ""),
                            LONG);
            assertTrue(result instanceof StartResult.Unknown, result.toString());
        }
    }

    @Test
    public void controlEndpointsSwitchFaults() {
        assertEquals(control("/control/workers/w1/lose-answers?count=1"), 200);
        assertTrue(start("t1") instanceof StartResult.Unknown);
        assertEquals(control("/control/workers/w1/leaving?on=true"), 200);
        assertRefused(StartRefusal.LEAVING, start("t2"));
        assertEquals(control("/control/workers/w1/leaving?on=false"), 200);
        assertEquals(control("/control/workers/w1/fail-starts?on=true"), 200);
        assertTrue(request("r1", "{}") instanceof StartResult.Ended);
        assertEquals(control("/control/workers/w1/cut"), 200);
        dropKeptConnections();
        assertTrue(start("t3") instanceof StartResult.NotConnected);
        assertEquals(control("/control/workers/w1/restore"), 200);
        assertEquals(control("/control/workers/w1/restart"), 200);
        assertEquals(control("/control/workers/w1/delay?millis=1"), 200);
        assertRefused(StartRefusal.WRONG_INCARNATION, start("t3"));
        assertEquals(control("/control/workers/w1/state"), 200);
        assertEquals(control("/control/workers/w9/cut"), 400);
        assertEquals(control("/control/workers/w1/other"), 404);
    }

    private int control(String path) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(Address.of("127.0.0.1", fleet.controlPort()).uri(path))
                        .POST(BodyPublishers.noBody());
        return ((CallResult.Response) transport.call(request, LONG)).status();
    }

    private static void assertRefused(StartRefusal expected, StartResult actual) {
        assertTrue(
                actual instanceof StartResult.Refused r && r.reason() == expected,
                expected + " expected: " + actual);
    }

    private long count(EventType type) {
        return history.events().stream().filter(e -> e.type() == type).count();
    }

    private StartResult start(String id) {
        return client.start(worker, FIRST, incarnation, task(id, WorkKind.BATCH, ""), LONG);
    }

    private StartResult request(String id, String input) {
        return client.request(
                worker,
                FIRST,
                incarnation,
                task(id, WorkKind.COMMAND, ""),
                bytes(input),
                c -> {},
                LONG);
    }
}
