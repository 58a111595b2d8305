package org.jujubefork.standins.proof;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.CellPlan;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.testng.annotations.Test;

/**
 * P2 and D1. Guards against an owner that was killed or paused and whose shard is placed on by two
 * entries, or by none for longer than 10 s.
 */
public final class TakeoverTest {
    private static final String WORKER = "z1-w1";

    /** A shard may move once or twice soon after the start. */
    private static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long TAKEOVER_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int PER_SECOND = 60;

    static Caller.Request mixed(int number, SplittableRandom random) {
        boolean command = random.nextInt(4) == 0;
        return new Caller.Request(
                "r" + number,
                command ? "red-command" : "red-lookup",
                command,
                Optional.of(SmallCell.key("red")),
                random.nextInt(60),
                random.nextInt(2_000));
    }

    private static LoadGenerator load(TestCell cell, long seed) {
        return LoadGenerator.start(cell, PER_SECOND, seed, TakeoverTest::mixed);
    }

    private static Optional<HistoryEvent> firstStart(
            TestCell cell, String zone, long afterNanos, String exceptHolder) throws Exception {
        return cell.fleetHistory().stream()
                .filter(e -> e.type() == EventType.START && e.nanos() > afterNanos)
                .filter(e -> e.text("worker").startsWith(zone + "-"))
                .filter(e -> !e.text("holder").startsWith(exceptHolder + "#"))
                .findFirst();
    }

    private static void assertTakenOver(TestCell cell, EntryVm owner, long fault) throws Exception {
        Await.until("takeover", () -> firstStart(cell, "z1", fault, owner.name()).isPresent());
        long nanos = firstStart(cell, "z1", fault, owner.name()).orElseThrow().nanos() - fault;
        Judgement.seen("TakeoverTest", "firstPlacementMillis=" + nanos / 1_000_000);
        assertTrue(nanos <= TAKEOVER_NANOS, "first placement after " + nanos + " ns");
    }

    @Test
    public void killedOwnerIsSucceeded() throws Exception {
        long seed = Judgement.seed("TakeoverTest.killed", 201);
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                LoadGenerator load = load(cell, seed)) {
            EntryVm owner = settledOwner(cell);
            long fault = System.nanoTime();
            owner.kill();
            assertTakenOver(cell, owner, fault);
            List<CallRecord> calls = load.stop();
            Judgement.seen("TakeoverTest.killed", Judgement.summary(calls));
            Judgement.safe(cell.fleetHistory(), calls);
            Judgement.none(
                    calls.stream()
                            .filter(c -> !c.command() && c.outcome() != Outcome.DONE)
                            .toList());
        }
    }

    /** Returns the owner once it has been the same for a while. */
    private static EntryVm settledOwner(TestCell cell) throws Exception {
        EntryVm owner = cell.ownerOf(WORKER);
        long since = System.nanoTime();
        while (System.nanoTime() - since < SETTLED_NANOS) {
            Thread.sleep(50);
            EntryVm now = cell.ownerOf(WORKER);
            if (!now.equals(owner)) {
                owner = now;
                since = System.nanoTime();
            }
        }
        return owner;
    }

    /**
     * Pauses the owner of a worker while commands to the worker are on the network, and delivers
     * them after the takeover.
     */
    private static List<HistoryEvent> pauseOwner(CellPlan plan, long seed, boolean judged)
            throws Exception {
        try (TestCell cell = TestCell.start(plan);
                LoadGenerator load = load(cell, seed)) {
            EntryVm owner = settledOwner(cell);
            LateCommands late = LateCommands.to(cell, WORKER);
            long fault = System.nanoTime();
            owner.process().pause();
            try {
                late.passNewConnections();
                assertTakenOver(cell, owner, fault);
                late.deliver();
            } finally {
                owner.process().resume();
            }
            Thread.sleep(3_000);
            List<CallRecord> calls = load.stop();
            List<HistoryEvent> history = cell.fleetHistory();
            Judgement.seen("TakeoverTest.paused", Judgement.summary(calls));
            if (judged) {
                Judgement.safe(history, calls);
                assertTrue(
                        history.stream()
                                .anyMatch(
                                        e ->
                                                e.type() == EventType.REFUSAL
                                                        && e.text("reason").equals("STALE_EPOCH")),
                        "no late command was refused, so that the test shows nothing");
            }
            return history;
        }
    }

    @Test
    public void pausedOwnerIsFenced() throws Exception {
        pauseOwner(
                SmallCell.of(3).withWorkerRelays().plan(),
                Judgement.seed("TakeoverTest.paused", 202),
                true);
    }

    /** Guards against a checker that passes whatever happens: here workers ignore epochs. */
    @Test
    public void checkerSeesLateStartsWithoutEpochs() throws Exception {
        CellPlan plan = SmallCell.of(3).withWorkerRelays().fleetFlag("--ignore-epochs").plan();
        Judgement.seesViolations(
                "TakeoverTest.unfenced",
                203,
                seed -> new EpochChecker().check(pauseOwner(plan, seed, false)).size());
    }
}
