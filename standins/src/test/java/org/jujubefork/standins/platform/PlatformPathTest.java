package org.jujubefork.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.jujubefork.standins.Await;
import org.testng.annotations.Test;

/**
 * The whole path on the platform's protocol with real processes: jobs are accepted, run and shown
 * as done; kills lose nothing that was acknowledged; withdrawn keys stop working.
 */
public final class PlatformPathTest {
    private static final String JOB =
            """
            {"spec":"%d","steps":[{"count":2,"cpu":1000,"mem_mb":256,"est_ms":900},\
            {"count":3,"cpu":500,"mem_mb":128,"after":[0],"gang":true}]}
            """;

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private static String state(PlatformCell cell, PlatformCell.EntryVm entry, int job)
            throws Exception {
        HttpResponse<String> answer = cell.call(entry, "GET", "/q/" + id(job), "");
        return answer.statusCode() + " " + answer.body();
    }

    private static void awaitState(
            PlatformCell cell, PlatformCell.EntryVm entry, int job, String state) throws Exception {
        Await.until("state " + state, () -> state(cell, entry, job).contains(state));
    }

    /** Guards against a break anywhere on the path, and against bad input that breaks it. */
    @Test
    public void jobRunsToItsEnd() throws Exception {
        try (PlatformCell cell = new PlatformCell(2, 3)) {
            PlatformCell.EntryVm first = cell.entries.get(0);
            PlatformCell.EntryVm second = cell.entries.get(1);
            cell.kv.put("servers/garbage", "{\"service\": 7}");
            String job = JOB.formatted(100);
            assertEquals(cell.call(first, "POST", "/q/" + id(1), job).statusCode(), 200);
            assertEquals(cell.call(second, "POST", "/q/" + id(1), job).statusCode(), 200);
            awaitState(cell, second, 1, "done");
            assertEquals(cell.starts().size(), 5, "starts of five tasks: " + cell.starts());
            assertEquals(cell.call(first, "GET", "/q/" + id(2), "").statusCode(), 410);
            assertEquals(cell.call(first, "GET", "/none/" + id(1), "").statusCode(), 404);
            assertEquals(cell.call(first, "POST", "/q/odd", job).statusCode(), 400);
            assertEquals(cell.call(first, "POST", "/q/" + id(3), "{").statusCode(), 400);
            assertEquals(
                    cell.call(first, "GET", "/q/" + id(1), "", "no-such-key").statusCode(), 401);
            assertEquals(cell.call(first, "GET", "/q/", "").body(), "{\"waiting\":0}");
            String metrics = cell.metrics(first) + cell.metrics(second);
            for (String line :
                    List.of(
                            "jujube_requests_total{queue=\"r\",status=\"410\"} 1.0",
                            "jujube_decisions_total{kind=\"job-accepted\",reason=\"\"} 1.0",
                            "jujube_store_calls_total{answer=\"200\",operation=\"write\"}",
                            "jujube_leads 1.0")) {
                assertTrue(metrics.contains(line), line + " is missing in\n" + metrics);
            }
        }
    }

    /** Guards against cancelled jobs whose tasks run on, and jobs that can never run. */
    @Test
    public void cancelledJobStops() throws Exception {
        try (PlatformCell cell = new PlatformCell(2, 2)) {
            PlatformCell.EntryVm entry = cell.entries.get(0);
            assertEquals(
                    cell.call(entry, "POST", "/q/" + id(1), JOB.formatted(60_000)).statusCode(),
                    200);
            awaitState(cell, entry, 1, "running");
            assertEquals(cell.call(entry, "DELETE", "/q/" + id(1), "").statusCode(), 200);
            awaitState(cell, entry, 1, "cancelled");
            String large = "{\"spec\":\"1\",\"steps\":[{\"count\":1,\"cpu\":900000}]}";
            assertEquals(cell.call(entry, "POST", "/q/" + id(2), large).statusCode(), 200);
            awaitState(cell, entry, 2, "pending");
            assertEquals(cell.call(entry, "GET", "/q/", "").body(), "{\"waiting\":1}");
        }
    }

    /** Guards against a takeover that loses a job or runs a task a second time. */
    @Test
    public void leaderIsKilled() throws Exception {
        try (PlatformCell cell = new PlatformCell(3, 3)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        cell.call(cell.entries.get(i), "POST", "/q/" + id(i), JOB.formatted(1_500))
                                .statusCode(),
                        200);
            }
            PlatformCell.EntryVm leader = leader(cell);
            leader.process.kill();
            PlatformCell.EntryVm other =
                    cell.entries.stream().filter(e -> e != leader).findFirst().orElseThrow();
            assertEquals(
                    cell.call(other, "POST", "/q/" + id(9), JOB.formatted(100)).statusCode(), 200);
            for (int job : List.of(0, 1, 2, 9)) {
                awaitState(cell, other, job, "done");
            }
            assertNoTaskTwice(cell);
        }
    }

    /**
     * Guards against an entry that stops and closes connections on which it has read a request but
     * sent no answer. The leader is suspended, so the request is still waiting when the process has
     * to end.
     */
    @Test
    public void stoppingEntryAnswersWaitingCall() throws Exception {
        try (PlatformCell cell = new PlatformCell(2, 1)) {
            PlatformCell.EntryVm leader = leader(cell);
            PlatformCell.EntryVm stopping =
                    cell.entries.stream().filter(e -> e != leader).findFirst().orElseThrow();
            assertEquals(
                    cell.call(stopping, "POST", "/q/" + id(1), JOB.formatted(100)).statusCode(),
                    200);
            leader.process.pause();
            CompletableFuture<Integer> exitCode =
                    CompletableFuture.supplyAsync(() -> terminate(stopping));
            // The connection of the first call is still open. The call may wait for 5.9 s, and the
            // process ends 3.2 s after the signal.
            Thread.sleep(1_500);
            int status =
                    cell.call(stopping, "POST", "/q/" + id(2), JOB.formatted(100)).statusCode();
            assertTrue(status == 503 || status == 504, "status " + status);
            assertEquals(exitCode.get().intValue(), 0);
            leader.process.resume();
        }
    }

    private static int terminate(PlatformCell.EntryVm entry) {
        try {
            return entry.process.terminate(Duration.ofSeconds(10));
        } catch (InterruptedException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against state that only the processes knew. */
    @Test
    public void allAreKilled() throws Exception {
        try (PlatformCell cell = new PlatformCell(2, 2)) {
            PlatformCell.EntryVm entry = cell.entries.get(0);
            assertEquals(
                    cell.call(entry, "POST", "/q/" + id(1), JOB.formatted(100)).statusCode(), 200);
            awaitState(cell, entry, 1, "done");
            assertEquals(
                    cell.call(entry, "POST", "/q/" + id(2), JOB.formatted(1_000)).statusCode(),
                    200);
            for (PlatformCell.EntryVm each : cell.entries) {
                each.process.kill();
            }
            for (PlatformCell.EntryVm each : cell.entries) {
                cell.start(each);
            }
            cell.awaitReady(entry);
            awaitState(cell, entry, 1, "done");
            awaitState(cell, entry, 2, "done");
            assertNoTaskTwice(cell);
        }
    }

    /** Guards against keys that outlive their withdrawal, in contact with the store and without. */
    @Test
    public void withdrawnKeyStops() throws Exception {
        try (PlatformCell cell = new PlatformCell(2, 2)) {
            PlatformCell.EntryVm entry = cell.entries.get(0);
            assertEquals(cell.call(entry, "GET", "/q/", "").statusCode(), 200);
            cell.configure(2, "another-key");
            Await.until(
                    "refusal of the key",
                    () -> cell.call(entry, "GET", "/q/", "").statusCode() == 401);
            assertEquals(cell.call(entry, "GET", "/q/", "", "another-key").statusCode(), 200);
            cell.kv.setDown(true);
            Await.until(
                    "refusal without the store",
                    () -> cell.call(entry, "GET", "/q/", "", "another-key").statusCode() == 503);
            cell.kv.setDown(false);
            Await.until(
                    "service with the store",
                    () -> cell.call(entry, "GET", "/q/", "", "another-key").statusCode() == 200);
        }
    }

    /**
     * Guards against starts in an evacuated zone, also by a new leader, and against a zone that
     * stays closed after its return.
     */
    @Test
    public void evacuatedZoneGetsNoStarts() throws Exception {
        try (PlatformCell cell = new PlatformCell(3, 2, ", \"evacuationMillis\": 5000")) {
            PlatformWorker evacuated = cell.workers.get(1);
            cell.kv.put(
                    evacuated.key(),
                    evacuated.entry("ready").replace("\"zone\":\"z\"", "\"zone\":\"y\""));
            cell.kv.put("op/evacuate/y", "{}");
            for (PlatformCell.EntryVm entry : cell.entries) {
                Await.until(
                        "evacuation at " + entry.name,
                        () -> cell.metrics(entry).contains("jujube_evacuated_zones 1.0"));
            }
            PlatformCell.EntryVm leader = leader(cell);
            runJob(cell, leader, 1);
            Await.until(
                    "worker of the zone",
                    () ->
                            cell.readinessPage(leader, "/v1/evacuations")
                                    .contains("\"zone\":\"y\",\"evacuatedMillis\":"));
            leader.process.kill();
            PlatformCell.EntryVm other =
                    cell.entries.stream().filter(e -> e != leader).findFirst().orElseThrow();
            runJob(cell, other, 2);
            assertEquals(evacuated.starts(), List.of());
            cell.kv.put("op/evacuate/z", "{}");
            for (PlatformCell.EntryVm entry : cell.entries) {
                if (entry != leader) {
                    Await.until(
                            "second evacuation at " + entry.name,
                            () -> cell.metrics(entry).contains("jujube_evacuated_zones 2.0"));
                }
            }
            String body = JOB.formatted(100);
            assertEquals(cell.call(other, "POST", "/q/" + id(9), body).statusCode(), 503);
            cell.kv.remove("op/evacuate/y");
            Await.until(
                    "return of the zone",
                    () -> cell.metrics(other).contains("jujube_evacuated_zones 1.0"));
            runJob(cell, other, 3);
            assertTrue(!evacuated.starts().isEmpty(), "no start after the return");
        }
    }

    private static void runJob(PlatformCell cell, PlatformCell.EntryVm entry, int number)
            throws Exception {
        Await.until(
                "acceptance",
                () ->
                        cell.call(entry, "POST", "/q/" + id(number), JOB.formatted(100))
                                        .statusCode()
                                == 200);
        awaitState(cell, entry, number, "done");
    }

    private static PlatformCell.EntryVm leader(PlatformCell cell) throws Exception {
        Await.until("leader", () -> cell.entries.stream().anyMatch(PlatformPathTest::leads));
        return cell.entries.stream().filter(PlatformPathTest::leads).findFirst().orElseThrow();
    }

    private static boolean leads(PlatformCell.EntryVm entry) {
        return entry.process.output().stream().anyMatch(l -> l.contains("event=lead "));
    }

    private static void assertNoTaskTwice(PlatformCell cell) {
        Set<String> tasks =
                cell.starts().stream()
                        .map(s -> s.substring(0, s.indexOf('/')))
                        .collect(Collectors.toSet());
        assertEquals(cell.starts().size(), tasks.size(), "starts: " + cell.starts());
        assertTrue(!tasks.isEmpty(), "nothing was started");
    }
}
