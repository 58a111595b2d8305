package org.jujubefork.standins.proof;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.ConfigApply;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Promises P1, P2, P5, P6 and P7 under two faults at once. Guards against recoveries that are right
 * one by one and break a promise when they overlap, and against a cell that does not recover.
 */
public final class FaultPairsTest {
    private static final int PER_SECOND = 50;

    /** Longer than a takeover, so that the second fault meets the successor too. */
    private static final long FAULT_MILLIS = 7_500;

    private static final long SECOND_FAULT_AFTER_MILLIS = 500;
    private static final long RECOVERY_MILLIS = 6_000;
    private static final int REQUESTS_AFTERWARDS = 20;

    /** Acts on a cell and on the owner of worker z1-w1. */
    @FunctionalInterface
    private interface Action {
        void on(TestCell cell, EntryVm owner) throws Exception;
    }

    /** A fault with its end. */
    private record Fault(String name, Action begin, Action end) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final Action NONE = (cell, owner) -> {};
    private static final Fault KILL = new Fault("kill", (cell, owner) -> owner.kill(), NONE);
    private static final Fault PAUSE =
            new Fault(
                    "pause",
                    (cell, owner) -> owner.process().pause(),
                    (cell, owner) -> owner.process().resume());
    private static final Fault OUTAGE =
            new Fault(
                    "store-outage",
                    (cell, owner) -> cell.controlStore("outage?on=true"),
                    (cell, owner) -> cell.controlStore("outage?on=false"));
    private static final Fault SLOW_STORE =
            new Fault(
                    "slow-store",
                    (cell, owner) -> cell.controlStore("slow?millis=800"),
                    (cell, owner) -> cell.controlStore("slow?millis=0"));
    private static final Fault LOST_STORE_ANSWERS =
            new Fault(
                    "lost-store-answers",
                    (cell, owner) -> cell.controlStore("lose-answers?count=20"),
                    (cell, owner) -> cell.controlStore("lose-answers?count=0"));
    private static final Fault LOST_WORKER_ANSWERS =
            new Fault(
                    "lost-worker-answers",
                    (cell, owner) -> loseWorkerAnswers(cell, 10),
                    (cell, owner) -> loseWorkerAnswers(cell, 0));
    private static final Fault CUT_WORKER =
            new Fault(
                    "cut-worker",
                    (cell, owner) -> {
                        cell.workerRelay("z1-w2").refuseNewConnections();
                        cell.workerRelay("z1-w2").resetConnections();
                    },
                    (cell, owner) -> cell.workerRelay("z1-w2").acceptNewConnections());
    private static final Fault CUT_FROM_STORE =
            new Fault(
                    "owner-cut-from-store",
                    (cell, owner) -> owner.setStoreDisconnected(true),
                    (cell, owner) -> owner.setStoreDisconnected(false));
    private static final Fault RACING_OPERATORS =
            new Fault("racing-operators", (cell, owner) -> race(cell), NONE);

    private static void loseWorkerAnswers(TestCell cell, int count) throws Exception {
        cell.controlWorker("z1-w1", "lose-answers", "?count=" + count);
        cell.controlWorker("z2-w1", "lose-answers", "?count=" + count);
    }

    @DataProvider(parallel = true)
    Object[][] pairs() {
        return new Object[][] {
            {KILL, OUTAGE, 1_001L},
            {PAUSE, LOST_STORE_ANSWERS, 1_002L},
            {KILL, CUT_WORKER, 1_003L},
            {PAUSE, SLOW_STORE, 1_004L},
            {LOST_WORKER_ANSWERS, SLOW_STORE, 1_005L},
            {KILL, RACING_OPERATORS, 1_006L},
            {CUT_FROM_STORE, CUT_WORKER, 1_007L},
        };
    }

    private static Caller.Request request(int number, SplittableRandom random) {
        boolean command = random.nextInt(3) == 0;
        return new Caller.Request(
                "f" + number,
                command ? "red-command" : "red-lookup",
                command,
                Optional.of(SmallCell.key("red")),
                random.nextInt(300),
                random.nextInt(2_000));
    }

    /** Two operators change the same version; at most one may win, whatever else fails. */
    private static void race(TestCell cell) throws Exception {
        List<EntryVm> alive = cell.entries().stream().filter(e -> e.process().isAlive()).toList();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            var first = executor.submit(() -> wins(cell, alive.get(0), 11));
            var second = executor.submit(() -> wins(cell, alive.get(1), 12));
            assertEquals(first.get() && second.get(), false, "both operators won");
        }
    }

    private static boolean wins(TestCell cell, EntryVm entry, int weight) throws Exception {
        try (ApiClient client = cell.clientFor(entry, Optional.of(cell.plan().operatorKey()))) {
            String text = ConfigurationTexts.withWeight(cell.plan().configuration(), "red", weight);
            client.apply(new ConfigApply(1, text, Map.of()));
            return true;
        } catch (ApiException e) {
            return false;
        }
    }

    @Test(dataProvider = "pairs")
    public void promisesHold(Fault one, Fault other, long pairSeed) throws Exception {
        String test = "FaultPairsTest." + one + "+" + other;
        long seed = Judgement.seed(test, pairSeed);
        try (TestCell cell = TestCell.start(SmallCell.of(3).withWorkerRelays().plan());
                LoadGenerator load =
                        LoadGenerator.start(cell, PER_SECOND, seed, FaultPairsTest::request)) {
            EntryVm owner = cell.ownerOf("z1-w1");
            Thread.sleep(1_500);
            one.begin().on(cell, owner);
            try {
                Thread.sleep(SECOND_FAULT_AFTER_MILLIS);
                other.begin().on(cell, owner);
                Thread.sleep(FAULT_MILLIS);
            } finally {
                other.end().on(cell, owner);
                one.end().on(cell, owner);
            }
            Thread.sleep(RECOVERY_MILLIS);
            List<CallRecord> calls = load.stop();
            Judgement.seen(test, Judgement.summary(calls));
            Judgement.safe(cell.fleetHistory(), calls);
            Judgement.none(unansweredAfterwards(cell, seed));
        }
    }

    private static List<CallRecord> unansweredAfterwards(TestCell cell, long seed)
            throws Exception {
        try (LoadGenerator load =
                LoadGenerator.start(
                        cell,
                        PER_SECOND,
                        seed,
                        (number, random) -> request(100_000 + number, random))) {
            while (load.records().size() < REQUESTS_AFTERWARDS) {
                Thread.sleep(50);
            }
            return load.stop().stream().filter(c -> c.outcome() != Outcome.DONE).toList();
        }
    }
}
