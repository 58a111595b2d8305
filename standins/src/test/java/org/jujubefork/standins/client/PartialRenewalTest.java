package org.jujubefork.standins.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.TaskJson;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.standins.fleet.Fleets;
import org.jujubefork.standins.http.Reply;
import org.jujubefork.standins.http.StandinServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a partial answer that makes the owner believe that a task is gone (P2). */
public final class PartialRenewalTest {
    private static final Duration TTL = Duration.ofSeconds(30);
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Epoch EPOCH = Fleets.epoch(1, "entry-1");

    private final List<JsonNode> requests = new CopyOnWriteArrayList<>();
    private volatile ObjectNode next;
    private Transport transport;
    private StandinServer server;
    private WorkerClient client;
    private Address worker;

    @BeforeMethod
    public void open() throws Exception {
        requests.clear();
        transport = Transport.create(Duration.ofSeconds(10));
        server =
                StandinServer.start(
                        0,
                        call -> {
                            requests.add(call.json());
                            return Reply.json(200, next);
                        });
        client = new WorkerClient(transport);
        worker = Address.of(StandinServer.HOST, server.port());
        next = full(5, "a", "b").put("workerId", "w1");
        assertTrue(client.lease(worker, EPOCH, TTL, LONG) instanceof LeaseResult.Granted);
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        transport.close();
        server.close();
    }

    private static ObjectNode full(long revision, String... tasks) {
        ObjectNode answer = Reply.object().put("incarnation", 7).put("leaving", false);
        answer.put("revision", revision).put("slots", 8).putArray("ended");
        TaskJson.writeResources(answer.putObject("capacity"), Fleets.CAPACITY);
        for (String id : tasks) {
            ObjectNode node = answer.withArray("running").addObject().put("ageMillis", 1);
            TaskJson.write(node, Fleets.task(id, WorkKind.SERVICE, ""));
            TaskJson.writeResources(node.putObject("usage"), Fleets.SIZE);
        }
        return answer;
    }

    private static ObjectNode changes(long incarnation, long since, int total) {
        return Reply.object()
                .put("incarnation", incarnation)
                .put("leaving", false)
                .put("revision", 6)
                .put("since", since)
                .put("total", total);
    }

    private LeaseResult renew(ObjectNode answer) {
        next = answer;
        return client.renew(worker, EPOCH, TTL, List.of(), LONG);
    }

    private static List<String> ids(LeaseResult result) {
        List<String> ids = new ArrayList<>();
        ((LeaseResult.Granted) result).running().forEach(t -> ids.add(t.spec().id().value()));
        return ids;
    }

    @Test
    public void answerWithoutChangesKeepsAllTasks() {
        LeaseResult.Granted renewed = (LeaseResult.Granted) renew(changes(7, 5, 2));
        assertEquals(ids(renewed), List.of("a", "b"));
        assertEquals(renewed.capacity(), Fleets.CAPACITY);
        assertEquals(requests.getLast().path("seen").asLong(), 5);
        ObjectNode gone = changes(7, 6, 1).put("revision", 7);
        gone.withArray("gone").add("a");
        assertEquals(ids(renew(gone)), List.of("b"));
        assertEquals(requests.getLast().path("seen").asLong(), 6);
    }

    @Test
    public void changesThatDoNotFollowTheViewAreUnknownAndAFullAnswerIsAskedFor() {
        ObjectNode foreignUsage = changes(7, 5, 2);
        ObjectNode usage = foreignUsage.withArray("usage").addObject().put("taskId", "c");
        TaskJson.writeResources(usage.putObject("usage"), Fleets.SIZE);
        List<ObjectNode> wrong =
                List.of(
                        changes(8, 5, 2),
                        changes(7, 4, 2),
                        changes(7, 5, 1),
                        changes(7, 5, 3),
                        foreignUsage);
        for (ObjectNode answer : wrong) {
            LeaseResult result = renew(answer);
            assertTrue(result instanceof LeaseResult.Unknown, answer + ": " + result);
            assertEquals(ids(renew(full(5, "a", "b"))), List.of("a", "b"));
            assertFalse(requests.getLast().has("seen"), "full answer asked for");
        }
    }

    @Test
    public void changesWithoutARequestForThemAreUnknown() {
        assertTrue(
                new WorkerClient(transport).renew(worker, EPOCH, TTL, List.of(), LONG)
                        instanceof LeaseResult.Granted);
        next = changes(7, 5, 2);
        LeaseResult result = new WorkerClient(transport).renew(worker, EPOCH, TTL, List.of(), LONG);
        assertTrue(result instanceof LeaseResult.Unknown, result.toString());
    }

    /** The view of another epoch may lack what the owner in between started. */
    @Test
    public void renewalUnderAnotherEpochAsksForAFullAnswer() {
        next = full(9, "a");
        client.renew(worker, Fleets.epoch(3, "entry-1"), TTL, List.of(), LONG);
        assertFalse(requests.getLast().has("seen"), requests.getLast().toString());
    }
}
