package org.jujubefork.standins.delay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Predicate;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.cell.CellPlan;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;

/**
 * A cell with one worker in each of two regions, two entries in each of them and one entry in a
 * third region without workers. Each route of a lookup is therefore known in advance.
 */
final class LookupCell implements AutoCloseable {
    /** Request slots of a worker. */
    static final int SLOTS = 32;

    /** Bytes of filler in an answer. */
    static final int ANSWER_BYTES = 1_000;

    private static final int ENTRIES = 5;
    private static final int ZONES = 3;
    private static final String EMPTY_ZONE = "z3";
    private static final String WORKER = "z1-w1";
    private static final String OTHER_WORKER = "z2-w1";
    private static final String TEAM = "red";

    /** As many of them as there are slots fit into a worker. */
    private static final Resources SIZE = Resources.of(200, 256, 0);

    /**
     * Below the 64 connections of a worker, so that the owner always gets the connections that it
     * needs.
     */
    private static final int DIRECT_CONNECTIONS = 24;

    /** After this time shards no longer move to entries of their own zones. */
    private static final long SETTLE_MILLIS = 8_000;

    private final TestCell cell;
    private final String owner;
    private final List<HistoryEvent> history;

    private LookupCell(TestCell cell) throws IOException {
        this.cell = cell;
        this.owner = cell.ownerOf(WORKER).name();
        // Read once, because the history grows with each request.
        this.history = cell.fleetHistory();
    }

    static LookupCell start() throws Exception {
        CellPlan plan =
                SmallCell.of(ENTRIES).workers(ZONES, 1, SLOTS).team(TEAM).taskSize(SIZE).plan();
        List<CellPlan.Worker> workers =
                plan.workers().stream().filter(w -> !w.zone().equals(EMPTY_ZONE)).toList();
        TestCell cell =
                TestCell.start(
                        new CellPlan(
                                plan.entries(),
                                workers,
                                plan.configuration(),
                                plan.overlays(),
                                plan.operatorKey(),
                                plan.teamKeys(),
                                plan.workerRelays(),
                                plan.fleetFlags(),
                                plan.settings()));
        Thread.sleep(SETTLE_MILLIS);
        return new LookupCell(cell);
    }

    TestCell cell() {
        return cell;
    }

    /** Returns calls to the worker that lookups through its owner also use. */
    Target direct(long runMillis) {
        return direct(WORKER, DIRECT_CONNECTIONS, runMillis);
    }

    /** Returns calls to the worker of the other region, as many at once as it has slots. */
    Target directElsewhere(long runMillis) {
        return direct(OTHER_WORKER, SLOTS, runMillis);
    }

    private Target direct(String worker, int atOnce, long runMillis) {
        HistoryEvent lease = last(worker, EventType.LEASE);
        long incarnation = last(worker, EventType.WORKER).number("incarnation");
        URI uri = URI.create("http://" + cell.workerAddress(worker) + "/v1/tasks");
        return Target.bounded(
                "direct", id -> post(uri, start(lease, incarnation, id, runMillis)), atOnce);
    }

    private HistoryEvent last(String worker, EventType type) {
        return history.stream()
                .filter(e -> e.type() == type && e.text("worker").equals(worker))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    /** Makes the message that an owner sends, under the owner's epoch. */
    private static byte[] start(HistoryEvent lease, long incarnation, String id, long runMillis) {
        var body =
                JsonFields.object()
                        .put("holder", lease.text("holder"))
                        .put("epoch", lease.number("epoch"))
                        .put("incarnation", incarnation)
                        .put("taskId", "direct-" + id)
                        .put("team", TEAM)
                        .put("queue", TEAM + "-lookup")
                        .put("kind", "LOOKUP");
        body.putObject("size")
                .put("cpuMillis", SIZE.cpuMillis())
                .put("memoryMb", SIZE.memoryMb())
                .put("accelerators", SIZE.accelerators());
        return JsonFields.encode(body.put("body", input(id, runMillis)));
    }

    /** Returns lookups through the owner of the worker's shard. */
    Target owned(long runMillis) {
        return lookups("owner", entry(e -> e.name().equals(owner)), runMillis);
    }

    /** Returns lookups through the entry beside the owner, which forwards them within the zone. */
    Target forwarded(long runMillis) {
        EntryVm beside = entry(e -> e.zone().equals("z1") && !e.name().equals(owner));
        return lookups("forwarded", beside, runMillis);
    }

    /** Returns lookups through the entry that has to forward them to another region. */
    Target otherRegion(long runMillis) {
        EntryVm entry = entry(e -> e.zone().equals(EMPTY_ZONE));
        return lookups("forwarded to another region", entry, runMillis);
    }

    private EntryVm entry(Predicate<EntryVm> which) {
        return cell.entries().stream().filter(which).findFirst().orElseThrow();
    }

    private static Target lookups(String name, EntryVm entry, long runMillis) {
        URI uri = URI.create("http://" + entry.httpAddress() + ApiPaths.requests(TEAM + "-lookup"));
        return Target.of(name, id -> lookup(uri, id, runMillis));
    }

    private static HttpRequest lookup(URI uri, String id, long runMillis) {
        return HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + SmallCell.key(TEAM))
                .POST(HttpRequest.BodyPublishers.ofByteArray(input(id, runMillis)))
                .build();
    }

    private static HttpRequest post(URI uri, byte[] body) {
        return HttpRequest.newBuilder(uri)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    private static byte[] input(String id, long runMillis) {
        return JsonFields.object()
                .put("echo", id)
                .put("runMillis", runMillis)
                .put("answerBytes", ANSWER_BYTES)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws Exception {
        cell.close();
    }
}
