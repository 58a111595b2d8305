package org.jujubefork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/** Tests small tasks that are queued behind a large head of their lane. */
public class BackfillTest {
    private static final Resources SMALL = Resources.of(2_000, 2_000, 0);
    private static final Resources FILL = Resources.of(6_000, 6_000, 0);
    private static final Resources LARGE = Resources.of(9_000, 9_000, 0);
    private static final long MAX_HEAD_WAIT_MILLIS = Backfill.BACKFILL_MILLIS + 15_000;

    private static Tuning tuning(long reclaimAfterMillis) {
        return new Tuning(
                reclaimAfterMillis, 10_000, Resources.ZERO, 2, 20_000, 3, 5, 30_000, 2, 40);
    }

    private static long placedCount(SingleEntryCell cell, String job) {
        return cell.shard().tasks().values().stream()
                .filter(t -> t.spec().jobTask().orElseThrow().job().value().equals(job))
                .count();
    }

    /** Guards against capacity that stays idle because a team's first task does not fit into it. */
    @Test
    public void smallTaskIsPlacedAheadOfLargeHead() {
        SingleEntryCell cell = SingleEntryCell.of(2, 1, tuning(30_000));
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 2, FILL);
        cell.enqueueTasks("large", WorkKind.BATCH, 0, 2, LARGE);
        cell.enqueueTasks("small", WorkKind.BATCH, 0, 2, SMALL);
        cell.advance(100);
        assertEquals(placedCount(cell, "fill"), 2);
        assertEquals(placedCount(cell, "large"), 0);
        assertEquals(placedCount(cell, "small"), 2);
    }

    /**
     * Guards against a search that stops among the tasks of a large job before it reaches smaller
     * work.
     */
    @Test
    public void smallTaskIsFoundBehindLargeJob() {
        SingleEntryCell cell = SingleEntryCell.of(1, 1, tuning(30_000));
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 1, FILL);
        cell.enqueueTasks("large", WorkKind.BATCH, 0, 4 * Backfill.MAX_EXAMINED_ITEMS, LARGE);
        cell.enqueueTasks("small", WorkKind.BATCH, 0, 1, SMALL);
        cell.runFor(600);
        assertEquals(placedCount(cell, "small"), 1);
        assertEquals(placedCount(cell, "large"), 0);
    }

    /**
     * Guards against a large task that never starts because smaller tasks take all capacity that
     * becomes free.
     */
    @Test
    public void largeHeadStartsDespiteSteadyFlowOfSmallTasks() {
        for (long seed = 1; seed <= 10; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SingleEntryCell cell = SingleEntryCell.of(1, 1, tuning(30_000));
            cell.enqueueTasks("first", WorkKind.BATCH, 0, 2, SMALL);
            cell.acceptStarts();
            cell.enqueueTasks("large", WorkKind.BATCH, 0, 1, LARGE);
            long start = cell.state.nowMillis();
            int startedAheadCount = 0;
            while (placedCount(cell, "large") == 0) {
                cell.enqueueTasks("flow", WorkKind.BATCH, 0, 1 + random.nextInt(2), SMALL);
                cell.runFor(100 + random.nextLong(400));
                startedAheadCount += cell.effects(WorkerEffect.StartTask.class).size();
                cell.acceptStarts();
                cell.effects.clear();
                List<RunningTask> running = cell.placedTasks(WorkKind.BATCH, 0);
                cell.endTask(running.get(random.nextInt(running.size())), EndReason.SUCCEEDED);
                long waitedMillis = cell.state.nowMillis() - start;
                assertTrue(
                        waitedMillis < MAX_HEAD_WAIT_MILLIS,
                        "seed " + seed + " waited " + waitedMillis + " ms");
            }
            assertTrue(
                    startedAheadCount > 5,
                    "seed " + seed + ": " + startedAheadCount + " tasks started ahead of the head");
        }
    }

    /**
     * Guards against capacity that is freed by preemption for the head and then taken by other
     * work.
     */
    @Test
    public void reclaimedCapacityGoesToTheHead() {
        SingleEntryCell cell = SingleEntryCell.of(3, 2, tuning(1_000));
        cell.enqueueTasks("lent", WorkKind.BATCH, 0, 15, SMALL);
        cell.acceptStarts();
        cell.enqueueTasks("large", WorkKind.BATCH, 1, 1, SMALL.times(2));
        cell.enqueueTasks("small", WorkKind.BATCH, 1, 1, SMALL);
        cell.effects.clear();
        cell.runFor(2_000);
        List<RunningTask> stopped =
                cell.effects(WorkerEffect.StopTask.class).stream()
                        .map(s -> cell.shard().tasks().get(s.task()))
                        .toList();
        assertEquals(stopped.size(), 2);
        cell.endTask(stopped.get(0), EndReason.CHECKPOINTED);
        cell.runFor(500);
        assertEquals(
                placedCount(cell, "small"), 0, "a small task took the capacity freed for the head");
        cell.endTask(stopped.get(1), EndReason.CHECKPOINTED);
        assertEquals(placedCount(cell, "large"), 1);
    }
}
