package org.jujubefork.standins.proof;

import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.testng.annotations.Test;

/**
 * Section 1, urgent work. Guards against urgent lookups that wait longer than 5.4 s for their start
 * while batch tasks want all workers.
 */
public final class UrgentStartTest {
    private static final long BOUND_NANOS = TimeUnit.MILLISECONDS.toNanos(5_400);
    private static final int PER_SECOND = 10;

    private static Caller.Request request(String queue, int number, SplittableRandom random) {
        return new Caller.Request(
                "u" + number,
                queue,
                false,
                Optional.of(SmallCell.key("red")),
                random.nextInt(50),
                100);
    }

    /** Returns how many requests had no start within the bound; batch tasks fill the cell. */
    private static long late(String queue, long seed) throws Exception {
        SmallCell cellPlan = SmallCell.of(3).reserve(Resources.of(1_000, 1_024, 0), 2);
        try (TestCell cell = TestCell.start(cellPlan.plan())) {
            SaturationTest.submit(cell, "red-batch", 60, 20_000);
            Thread.sleep(3_000);
            List<CallRecord> calls;
            try (LoadGenerator load =
                    LoadGenerator.start(
                            cell, PER_SECOND, seed, (n, random) -> request(queue, n, random))) {
                Thread.sleep(4_000);
                calls = load.stop();
            }
            Map<String, Long> starts = new HashMap<>();
            cell.fleetHistory().stream()
                    .filter(e -> e.type() == EventType.START)
                    .forEach(e -> starts.putIfAbsent(e.text("idempotencyKey"), e.nanos()));
            long late =
                    Judgement.count(
                            calls,
                            c ->
                                    starts.getOrDefault(c.id(), Long.MAX_VALUE) - c.startedNanos()
                                            > BOUND_NANOS);
            Judgement.seen("UrgentStartTest", queue + " late=" + late + " of " + calls.size());
            return late;
        }
    }

    @Test
    public void urgentLookupsStartInTime() throws Exception {
        long late = late("red-urgent", Judgement.seed("UrgentStartTest", 751));
        assertTrue(late == 0, late + " urgent lookups started late");
    }

    /**
     * Guards against a cell that is not full: lookups that are not urgent wait for a task's end.
     */
    @Test
    public void otherLookupsWait() throws Exception {
        long late = late("red-lookup", Judgement.seed("UrgentStartTest.off", 752));
        assertTrue(late > 0, "no lookup had to wait");
    }
}
