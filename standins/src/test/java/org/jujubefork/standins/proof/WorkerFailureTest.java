package org.jujubefork.standins.proof;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ShardView;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.CellPlan;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.testng.annotations.Test;

/**
 * D2 and D11. Guards against a worker that fails everything and attracts work because it looks
 * idle, and against tasks of an unreachable worker that are lost or run twice.
 */
public final class WorkerFailureTest {
    private static final String WORKER = "z1-w1";
    private static final int PER_SECOND = 60;

    /** Starts that condemn a worker (D11), starts then in flight in its 8 slots, and two probes. */
    private static final int ATTEMPTS = 5 + 8 + 2;

    private static final long WATCHED_MILLIS = 12_000;
    private static final int REPLICAS = 8;

    /** Lease of 30 s with its margin of 10%, last renewed at most 10 s before the cut. */
    private static final long LEASE_OVER_MILLIS = 33_000 - 10_000;

    /** The lease with its margin, and time for the placement elsewhere. */
    private static final Duration RESTART = Duration.ofSeconds(33 + 10);

    /** How long the owners must have had all workers before the replicas are placed. */
    private static final Duration SETTLED = Duration.ofSeconds(2);

    /** Returns how many starts a worker was sent while it worked or failed all of them. */
    private static long starts(boolean failing, long seed) throws Exception {
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                LoadGenerator load =
                        LoadGenerator.start(cell, PER_SECOND, seed, TakeoverTest::mixed)) {
            long since = System.nanoTime();
            if (failing) {
                cell.controlWorker(WORKER, "fail-starts", "?on=true");
            }
            Thread.sleep(WATCHED_MILLIS);
            List<CallRecord> calls = load.stop();
            List<HistoryEvent> history = cell.fleetHistory();
            Judgement.safe(history, calls);
            long starts =
                    history.stream()
                            .filter(e -> e.type() == EventType.START && e.nanos() > since)
                            .filter(e -> e.text("worker").equals(WORKER))
                            .count();
            Judgement.seen("WorkerFailureTest", "failing=" + failing + " starts=" + starts);
            if (failing) {
                Judgement.none(
                        calls.stream()
                                .filter(c -> !c.command())
                                .filter(c -> c.outcome() != Outcome.DONE || !c.reason().isEmpty())
                                .toList());
            }
            return starts;
        }
    }

    @Test
    public void failingWorkerIsQuarantined() throws Exception {
        long starts = starts(true, Judgement.seed("WorkerFailureTest", 1_101));
        assertTrue(starts <= ATTEMPTS, starts + " starts on a worker that fails all");
    }

    /** Guards against a worker that would get no work anyway. */
    @Test
    public void workingWorkerGetsMore() throws Exception {
        long starts = starts(false, Judgement.seed("WorkerFailureTest.off", 1_102));
        assertTrue(starts > ATTEMPTS, "only " + starts + " starts on a worker that works");
    }

    @Test
    public void tasksOfAnUnreachableWorkerRunElsewhere() throws Exception {
        CellPlan plan = SmallCell.of(3).workers(2, 2, 8).withWorkerRelays().plan();
        try (TestCell cell = TestCell.start(plan)) {
            awaitSettled(cell);
            SaturationTest.submit(cell, "red-service", REPLICAS, 600_000);
            Await.until("all replicas", () -> running(cell) == REPLICAS);
            long onWorker = cell.controlWorker(WORKER, "state", "").path("running").asLong();
            assertTrue(onWorker > 0, "no replica on the worker to be cut off");
            long cut = System.nanoTime();
            cell.workerRelay(WORKER).refuseNewConnections();
            cell.workerRelay(WORKER).resetConnections();
            long deadline = cut + RESTART.toNanos();
            while (startsElsewhere(cell, cut) < onWorker && System.nanoTime() < deadline) {
                Thread.sleep(200);
            }
            List<HistoryEvent> history = cell.fleetHistory();
            long first =
                    history.stream()
                            .filter(e -> e.type() == EventType.START && e.nanos() > cut)
                            .mapToLong(e -> e.nanos() - cut)
                            .min()
                            .orElse(0);
            Judgement.seen(
                    "WorkerFailureTest.unreachable",
                    "replicas=" + onWorker + " firstRestartMillis=" + first / 1_000_000);
            Judgement.safe(history, List.of());
            assertEquals(startsElsewhere(cell, cut), onWorker, "replicas started elsewhere");
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(first) >= LEASE_OVER_MILLIS,
                    "restarted before the lease was over");
        }
    }

    /**
     * Waits until the owners have had all workers for some time. An owner that has acquired only
     * one worker of its zone, just after the start or a move of its shard, places all replicas
     * there.
     */
    private static void awaitSettled(TestCell cell) throws Exception {
        try (ApiClient operator = cell.client(0, Optional.of(cell.plan().operatorKey()))) {
            long[] since = {System.nanoTime()};
            String[] known = {""};
            Await.until(
                    "owners with all workers for " + SETTLED,
                    () -> {
                        List<ShardView> shards = operator.status().shards();
                        boolean complete =
                                shards.stream().mapToInt(ShardView::acquired).sum()
                                        == cell.plan().workers().size();
                        String owners =
                                shards.stream().map(ShardView::epoch).sorted().toList().toString();
                        if (!complete || !owners.equals(known[0])) {
                            known[0] = owners;
                            since[0] = System.nanoTime();
                        }
                        return System.nanoTime() - since[0] >= SETTLED.toNanos();
                    });
        }
    }

    private static long startsElsewhere(TestCell cell, long sinceNanos) throws Exception {
        return cell.fleetHistory().stream()
                .filter(e -> e.type() == EventType.START && e.nanos() > sinceNanos)
                .filter(e -> !e.text("worker").equals(WORKER))
                .count();
    }

    private static long running(TestCell cell) throws Exception {
        long sum = 0;
        for (CellPlan.Worker worker : cell.plan().workers()) {
            sum += cell.controlWorker(worker.id(), "state", "").path("running").asLong();
        }
        return sum;
    }
}
