package org.jujubefork.standins.proof;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.testng.annotations.Test;

/** P8. Guards against work that is started on a worker more than 5 s after it was listed. */
public final class LeavingTest {
    private static final String WORKER = "z1-w1";
    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int PER_SECOND = 60;

    /** Returns how many starts the worker had after the bound. */
    private static long lateStarts(boolean listed, long seed) throws Exception {
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                LoadGenerator load =
                        LoadGenerator.start(cell, PER_SECOND, seed, TakeoverTest::mixed)) {
            Thread.sleep(2_000);
            long marked = System.nanoTime();
            if (listed) {
                cell.markVmAsLeaving(WORKER);
            }
            Thread.sleep(8_000);
            List<CallRecord> calls = load.stop();
            Judgement.safe(cell.fleetHistory(), calls);
            long last =
                    cell.fleetHistory().stream()
                            .filter(e -> e.type() == EventType.START)
                            .filter(e -> e.text("worker").equals(WORKER))
                            .mapToLong(e -> e.nanos() - marked)
                            .max()
                            .orElse(0);
            Judgement.seen(
                    "LeavingTest", "listed=" + listed + " lastStartMillis=" + last / 1_000_000);
            return cell.fleetHistory().stream()
                    .filter(e -> e.type() == EventType.START)
                    .filter(e -> e.text("worker").equals(WORKER))
                    .filter(e -> e.nanos() - marked > BOUND_NANOS)
                    .count();
        }
    }

    @Test
    public void leavingWorkerGetsNoWork() throws Exception {
        assertTrue(lateStarts(true, Judgement.seed("LeavingTest", 501)) == 0, "late starts");
    }

    /** Guards against a worker that is idle anyway: here it is not listed as leaving. */
    @Test
    public void otherWorkerGetsWork() throws Exception {
        assertTrue(lateStarts(false, Judgement.seed("LeavingTest.off", 502)) > 0, "no starts");
    }
}
