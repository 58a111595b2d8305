package org.jujubefork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/** Tests jobs whose tasks must all start at once. */
public class GangTest {
    private static final Resources BATCH = Resources.of(3_000, 2_900, 0);
    private static final Resources LARGE = Resources.of(8_000, 8_000, 0);

    /** Guards against a gang of which only some tasks start. */
    @Test
    public void gangStartsAllTasksOrNone() {
        SingleEntryCell cell = SingleEntryCell.of(3, 2, Tuning.DEFAULT);
        cell.enqueueGang("too-large", 0, 4, LARGE);
        assertTrue(cell.placedTasks(WorkKind.GANG, 0).isEmpty());
        cell.enqueueGang("fits", 1, 3, LARGE);
        assertEquals(cell.placedTasks(WorkKind.GANG, 1).size(), 3);
    }

    /**
     * Guards against a gang that starves because small tasks take all capacity that becomes free.
     */
    @Test
    public void gangIsNotStarvedBySmallTasks() {
        SingleEntryCell cell = SingleEntryCell.of(4, 2, Tuning.DEFAULT);
        cell.enqueueTasks("stream", WorkKind.BATCH, 0, 400, BATCH);
        cell.enqueueGang("gang", 1, 2, LARGE);
        int roundCount = 0;
        int endedCount = 0;
        while (cell.placedTasks(WorkKind.GANG, 1).isEmpty() && roundCount++ < 60) {
            List<RunningTask> running = cell.placedTasks(WorkKind.BATCH, 0);
            cell.endTask(running.get(roundCount % running.size()), EndReason.SUCCEEDED);
            endedCount++;
            cell.runFor(1_000);
        }
        assertEquals(
                cell.placedTasks(WorkKind.GANG, 1).size(),
                2,
                "after " + endedCount + " completed tasks");
    }

    /**
     * Guards against a reservation that blocks work on other workers, or work that fits beside it.
     */
    @Test
    public void otherWorkRunsDuringReservation() {
        SingleEntryCell cell = SingleEntryCell.of(4, 2, Tuning.DEFAULT);
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 12, BATCH);
        cell.enqueueGang("gang", 1, 2, LARGE);
        cell.runFor(11_000);
        var parts = cell.shard().schedulerState().reservation().orElseThrow().tasksByWorker();
        assertEquals(parts.size(), 2);
        cell.enqueueTasks("more", WorkKind.BATCH, 0, 8, BATCH);
        for (RunningTask task : cell.placedTasks(WorkKind.BATCH, 0)) {
            if (!parts.containsKey(task.worker())) {
                cell.endTask(task, EndReason.SUCCEEDED);
            }
        }
        assertEquals(cell.shard().queue().size(), 3, "two tasks and the gang are queued");
        cell.enqueueTasks("tiny", WorkKind.BATCH, 0, 2, Resources.of(500, 500, 0));
        assertTrue(cell.placedTasks(WorkKind.GANG, 1).isEmpty());
    }

    /** Guards against one long task that keeps the rest of the reserved capacity idle. */
    @Test
    public void lastLongTaskOnReservedWorkersIsCheckpointed() {
        SingleEntryCell cell = SingleEntryCell.of(2, 2, Tuning.DEFAULT);
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 6, BATCH);
        cell.acceptStarts();
        cell.enqueueGang("gang", 1, 2, LARGE);
        List<RunningTask> tasks = cell.placedTasks(WorkKind.BATCH, 0);
        tasks.subList(1, tasks.size()).forEach(t -> cell.endTask(t, EndReason.SUCCEEDED));
        cell.effects.clear();
        cell.runFor(45_000);
        var stops = cell.effects(WorkerEffect.StopTask.class);
        assertEquals(stops.size(), 1);
        assertEquals(stops.get(0).task(), tasks.get(0).spec().id());
        cell.endTask(tasks.get(0), EndReason.CHECKPOINTED);
        cell.runFor(200);
        assertEquals(cell.placedTasks(WorkKind.GANG, 1).size(), 2);
    }

    /** Guards against a reservation that outlives its gang and keeps workers idle. */
    @Test
    public void reservationIsReleasedWithItsGang() {
        SingleEntryCell cell = SingleEntryCell.of(2, 2, Tuning.DEFAULT);
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 6, BATCH);
        cell.enqueueGang("gang", 1, 2, LARGE);
        cell.runFor(11_000);
        var position = cell.shard().schedulerState().reservation().orElseThrow().position();
        ShardState shard = cell.shard();
        cell.state = cell.state.withShard(shard.withQueue(shard.queue().minus(position)));
        cell.advance(100);
        assertTrue(cell.shard().schedulerState().reservation().isEmpty());
        assertEquals(cell.workerState(0).reserved(), Resources.ZERO);
    }

    /** Guards against two gangs that each hold a part of the workers that the other gang needs. */
    @Test
    public void gangsReserveInOrderOfArrival() {
        SingleEntryCell cell = SingleEntryCell.of(3, 3, Tuning.DEFAULT);
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 9, BATCH);
        cell.enqueueGang("first", 1, 3, LARGE);
        cell.advance(1);
        cell.enqueueGang("second", 2, 3, LARGE);
        cell.runFor(12_000);
        for (RunningTask task : cell.placedTasks(WorkKind.BATCH, 0)) {
            cell.endTask(task, EndReason.SUCCEEDED);
        }
        cell.runFor(200);
        assertEquals(cell.placedTasks(WorkKind.GANG, 1).size(), 3);
        for (RunningTask task : cell.placedTasks(WorkKind.GANG, 1)) {
            cell.endTask(task, EndReason.SUCCEEDED);
        }
        cell.runFor(200);
        assertEquals(cell.placedTasks(WorkKind.GANG, 2).size(), 3);
    }

    /** Guards against placement of large gangs in quadratic time. */
    @Test
    public void largeGangIsPlacedInOneEvent() {
        SingleEntryCell cell = SingleEntryCell.of(500, 1, Tuning.DEFAULT);
        cell.enqueueGang("large", 0, 1_000, Resources.of(4_000, 4_000, 0));
        assertEquals(cell.placedTasks(WorkKind.GANG, 0).size(), 1_000);
    }
}
