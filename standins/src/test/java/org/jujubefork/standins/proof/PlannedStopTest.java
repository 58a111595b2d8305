package org.jujubefork.standins.proof;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.testng.annotations.Test;

/**
 * P9. Guards against a planned stop that breaks off an accepted request or takes longer than its
 * drain bound of 30 s.
 */
public final class PlannedStopTest {
    private static final Duration DRAIN = Duration.ofSeconds(32);
    private static final int PER_SECOND = 20;

    /** 0, or 128 + SIGTERM. */
    private static final Set<Integer> CODES = Set.of(0, 143);

    private static long cutOff(TestCell cell, LoadGenerator load, boolean planned)
            throws Exception {
        Thread.sleep(2_000);
        EntryVm owner = cell.ownerOf("z1-w1");
        long began = System.nanoTime();
        if (planned) {
            int code = owner.terminate(DRAIN);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
            Judgement.seen("PlannedStopTest", "exitCode=" + code + " afterMillis=" + millis);
            assertTrue(CODES.contains(code), "exit code " + code);
        } else {
            owner.kill();
        }
        Thread.sleep(2_000);
        List<CallRecord> calls = load.stop();
        Judgement.seen("PlannedStopTest", Judgement.summary(calls));
        Judgement.safe(cell.fleetHistory(), calls);
        return load.brokenConnections();
    }

    private static LoadGenerator load(TestCell cell, long seed) {
        return LoadGenerator.start(cell, PER_SECOND, seed, PlannedStopTest::request);
    }

    /** Runs long enough that an entry has requests in flight at all times. */
    private static Caller.Request request(int number, SplittableRandom random) {
        boolean command = random.nextInt(4) == 0;
        return new Caller.Request(
                "p" + number,
                command ? "red-command" : "red-lookup",
                command,
                Optional.of(SmallCell.key("red")),
                500 + random.nextInt(500),
                random.nextInt(2_000));
    }

    @Test
    public void stopBreaksOffNothing() throws Exception {
        long seed = Judgement.seed("PlannedStopTest", 601);
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                LoadGenerator load = load(cell, seed)) {
            long broken = cutOff(cell, load, true);
            assertTrue(broken == 0, broken + " connections broke without an answer");
        }
    }

    /** Guards against a count that stays at zero: a kill does break connections. */
    @Test
    public void killBreaksConnections() throws Exception {
        long seed = Judgement.seed("PlannedStopTest.off", 602);
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                LoadGenerator load = load(cell, seed)) {
            assertFalse(cutOff(cell, load, false) == 0, "no connection broke");
        }
    }
}
