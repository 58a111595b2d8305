package org.jujubefork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/** Tests borrowed capacity, reclaiming and urgent requests on a fully used fleet. */
public class ReclaimTest {
    private static final Resources SIZE = Resources.of(3_000, 2_900, 0);

    private static SingleEntryCell fullyUsedCell(int workers) {
        SingleEntryCell cell = SingleEntryCell.of(workers, 2, Tuning.DEFAULT);
        cell.enqueueTasks("lent", WorkKind.BATCH, 0, 3 * workers, SIZE);
        assertEquals(cell.placedTasks(WorkKind.BATCH, 0).size(), 3 * workers);
        cell.acceptStarts();
        return cell;
    }

    /** Guards against a team that never regains lent capacity from long batch tasks. */
    @Test
    public void capacityIsReclaimedAfterReclaimWait() {
        SingleEntryCell cell = fullyUsedCell(4);
        cell.enqueueTasks("waits", WorkKind.BATCH, 1, 4, SIZE);
        cell.effects.clear();
        cell.runFor(29_000);
        assertTrue(cell.effects(WorkerEffect.StopTask.class).isEmpty(), "reclaimed too early");
        cell.runFor(2_000);
        List<WorkerEffect.StopTask> stops = cell.effects(WorkerEffect.StopTask.class);
        assertEquals(stops.size(), 1);
        assertEquals(stops.get(0).mode(), StopMode.CHECKPOINT);
        cell.endTask(cell.shard().tasks().get(stops.get(0).task()), EndReason.CHECKPOINTED);
        assertEquals(cell.placedTasks(WorkKind.BATCH, 1).size(), 1);
    }

    /** Guards against preemption after which the waiting work still does not fit. */
    @Test
    public void nothingIsPreemptedIfWorkWouldStillNotFit() {
        SingleEntryCell cell = SingleEntryCell.of(4, 2, Tuning.DEFAULT);
        cell.enqueueTasks("service", WorkKind.SERVICE, 0, 4, Resources.of(6_000, 6_000, 0));
        cell.enqueueTasks("small", WorkKind.BATCH, 0, 4, Resources.of(2_000, 2_000, 0));
        cell.enqueueTasks("large", WorkKind.BATCH, 1, 1, Resources.of(8_000, 8_000, 0));
        cell.effects.clear();
        cell.runFor(60_000);
        assertTrue(cell.effects(WorkerEffect.StopTask.class).isEmpty());
    }

    /**
     * Guards against preemption for requests that wait for request slots rather than for resources.
     */
    @Test
    public void nothingIsPreemptedForRequestSlots() {
        Tuning quick = new Tuning(100, 10_000, Resources.ZERO, 2, 20_000, 3, 5, 30_000, 2, 40);
        SingleEntryCell cell = SingleEntryCell.of(1, 2, quick);
        for (int i = 0; i < 7; i++) {
            cell.submitRequest("r" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 1));
        }
        cell.enqueueTasks("fill", WorkKind.BATCH, 0, 2, Resources.of(3_500, 3_500, 0));
        cell.acceptStarts();
        assertEquals(cell.placedTasks(WorkKind.BATCH, 0).size(), 2);
        assertEquals(cell.shard().queue().requestCount(), 1);
        cell.effects.clear();
        cell.runFor(5_000);
        assertTrue(cell.effects(WorkerEffect.StopTask.class).isEmpty());
    }

    /** Guards against two teams that preempt each other's tasks in turn. */
    @Test
    public void teamsDoNotPreemptEachOtherInTurn() {
        SingleEntryCell cell = fullyUsedCell(4);
        cell.enqueueTasks("waits", WorkKind.BATCH, 1, 30, SIZE);
        cell.effects.clear();
        for (int i = 0; i < 400; i++) {
            cell.runFor(1_000);
            for (var stop : cell.effects(WorkerEffect.StopTask.class)) {
                RunningTask task = cell.shard().tasks().get(stop.task());
                if (task != null) {
                    cell.endTask(task, EndReason.CHECKPOINTED);
                    cell.enqueueTasks("again-" + i, WorkKind.BATCH, 0, 1, SIZE);
                }
            }
        }
        int stopCount = cell.effects(WorkerEffect.StopTask.class).size();
        assertTrue(
                stopCount >= 5 && stopCount <= 6,
                "6 preemptions divide the 12 tasks evenly, but got: " + stopCount);
        assertTrue(cell.placedTasks(WorkKind.BATCH, 1).size() >= 5);
    }

    /** Guards against lookups that wait behind batch work on a fully used fleet. */
    @Test
    public void urgentRequestStartsAtOnceOnAFullFleet() {
        SingleEntryCell cell = fullyUsedCell(2);
        cell.enqueueTasks("more", WorkKind.BATCH, 1, 20, SIZE);
        cell.submitRequest("r1", QueueId.of("urgent-0"));
        assertEquals(cell.placedTasks(WorkKind.LOOKUP, 0).size(), 1);
    }

    /** Guards against urgent work that starts too late once the reserve is used up. */
    @Test
    public void urgentRequestsPreemptOnceReserveIsUsed() {
        SingleEntryCell cell = fullyUsedCell(1);
        for (int i = 0; i < 4; i++) {
            cell.submitRequest("r" + i, QueueId.of("urgent-1"));
        }
        assertEquals(
                cell.placedTasks(WorkKind.LOOKUP, 1).size(),
                2,
                "the reserved part holds two requests");
        long start = cell.state.nowMillis();
        cell.effects.clear();
        while (cell.placedTasks(WorkKind.LOOKUP, 1).size() < 4) {
            cell.runFor(100);
            for (var stop : cell.effects(WorkerEffect.StopTask.class)) {
                RunningTask task = cell.shard().tasks().get(stop.task());
                if (task != null && cell.state.nowMillis() - start > 3_000) {
                    cell.endTask(task, EndReason.CHECKPOINTED);
                }
            }
            assertTrue(cell.state.nowMillis() - start < 5_400, "not started within 5.4 s");
        }
    }

    /**
     * Guards against checkpointing tasks although throttling them to their declared sizes would
     * free enough capacity.
     */
    @Test
    public void taskAboveItsDeclaredSizeIsThrottledInsteadOfPreempted() {
        SingleEntryCell cell = SingleEntryCell.of(1, 2, Tuning.DEFAULT);
        cell.enqueueTasks("greedy", WorkKind.BATCH, 0, 2, SIZE);
        cell.reportTasks(SingleEntryCell.worker(0), List.of(), Resources.of(5_000, 5_000, 0));
        cell.submitRequest("r1", QueueId.of("urgent-1"));
        assertTrue(
                cell.placedTasks(WorkKind.LOOKUP, 1).isEmpty(), "observed sizes fill the worker");
        cell.effects.clear();
        cell.advance(1_100);
        var stops = cell.effects(WorkerEffect.StopTask.class);
        assertFalse(stops.isEmpty());
        for (var stop : stops) {
            assertEquals(stop.mode(), StopMode.THROTTLE);
            TaskId id = stop.task();
            cell.apply(new TaskEvent.StopConfirmed(cell.state.nowMillis(), stop.worker(), id));
        }
        assertEquals(cell.placedTasks(WorkKind.LOOKUP, 1).size(), 1);
    }
}
