package org.jujubefork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/** Tests workers on which tasks fail. */
public class WorkerHealthTest {
    private static WorkerHealth fail(WorkerHealth health, int task, String subject, long now) {
        return health.afterFailure(TaskId.of("t" + task), subject, true, now, Tuning.DEFAULT);
    }

    private static WorkerHealth quarantined() {
        WorkerHealth health = WorkerHealth.HEALTHY;
        for (int i = 0; i < 5; i++) {
            health = fail(health, i, "job:" + i, 1_000);
        }
        return health;
    }

    /**
     * Guards against a faulty worker that stays in service, and against a quarantine for rare
     * failures.
     */
    @Test
    public void fiveFailuresInTheWindowQuarantine() {
        assertTrue(quarantined().isQuarantined());
        WorkerHealth rarelyFailing = WorkerHealth.HEALTHY;
        for (int i = 0; i < 6; i++) {
            rarelyFailing = fail(rarelyFailing, i, "job:" + i, 10_000L * i);
        }
        assertFalse(rarelyFailing.isQuarantined(), "failures outside of the window were counted");
    }

    /**
     * Guards against a worker that fails most of its tasks, but too slowly to reach the number of
     * failures in the window.
     */
    @Test
    public void moreThanHalfOfRecentOutcomesFailedQuarantines() {
        WorkerHealth health = WorkerHealth.HEALTHY;
        for (int i = 0; i < 10; i++) {
            health = fail(health, i, "job:" + i, 40_000L * i);
            health = health.afterSuccess(TaskId.of("ok-" + i));
            assertFalse(health.isQuarantined(), "at " + i);
        }
        health = fail(health, 20, "job:20", 2_000_000);
        assertFalse(health.isQuarantined(), "10 of the last 20 failed");
        health = fail(health, 21, "job:21", 2_040_000);
        assertTrue(health.isQuarantined(), "11 of the last 20 failed");
    }

    /** Guards against a job that fails on every worker and causes all of them to be quarantined. */
    @Test
    public void failingJobDoesNotQuarantineWorkers() {
        WorkerHealth health = WorkerHealth.HEALTHY;
        for (int i = 0; i < 50; i++) {
            health = health.afterFailure(TaskId.of("t" + i), "job:bad", false, i, Tuning.DEFAULT);
        }
        assertFalse(health.isQuarantined());
    }

    /**
     * Guards against frequent probes of a faulty worker, and against a worker that stays
     * quarantined after a successful probe.
     */
    @Test
    public void probeIntervalDoublesUpToItsBoundAndSuccessEndsTheQuarantine() {
        WorkerHealth health = quarantined();
        long now = 1_000;
        long[] expectedIntervalsMillis = {
            10_000, 20_000, 40_000, 80_000, 160_000, 300_000, 300_000
        };
        for (long intervalMillis : expectedIntervalsMillis) {
            assertFalse(health.advancedTo(now + intervalMillis - 1).acceptsWork());
            now += intervalMillis;
            TaskId probe = TaskId.of("probe-" + now);
            health = health.advancedTo(now).afterStart(probe);
            assertFalse(health.acceptsWork(), "accepts work during a probe");
            assertFalse(health.afterSuccess(TaskId.of("older")).acceptsWork());
            health = health.afterFailure(probe, "job:x", true, now, Tuning.DEFAULT);
        }
        TaskId lastProbe = TaskId.of("last");
        assertTrue(
                health.advancedTo(now + 300_000)
                        .afterStart(lastProbe)
                        .afterSuccess(lastProbe)
                        .acceptsWork());
    }

    /**
     * Guards against a worker that attracts most requests because it fails them quickly and so
     * appears idle.
     */
    @Test
    public void fastFailingWorkerDoesNotAttractRequests() {
        SingleEntryCell cell = SingleEntryCell.of(4, 1, Tuning.DEFAULT);
        int failedCount = 0;
        for (int i = 0; i < 400; i++) {
            cell.effects.clear();
            cell.submitRequest("r" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 0));
            for (var start : cell.effects(WorkerEffect.StartTask.class)) {
                boolean isFaulty = start.worker().equals(SingleEntryCell.worker(3));
                failedCount += isFaulty ? 1 : 0;
                cell.apply(
                        new TaskEvent.RequestFinished(
                                cell.state.nowMillis(),
                                start.worker(),
                                start.task().id(),
                                !isFaulty,
                                1));
            }
            cell.advance(10);
        }
        assertTrue(cell.workerState(3).quarantined());
        assertTrue(failedCount <= 5, "failed " + failedCount);
    }

    /**
     * Guards against a lookup that is lost because of one faulty worker, and against a lookup that
     * fails on every worker and uses up the retries of other lookups.
     */
    @Test
    public void failedLookupIsRetriedOnce() {
        SingleEntryCell cell = SingleEntryCell.of(2, 1, Tuning.DEFAULT);
        cell.submitRequest("r", SingleEntryCell.queue(WorkKind.LOOKUP, 0));
        for (int attempt = 1; attempt <= 2; attempt++) {
            var starts = cell.effects(WorkerEffect.StartTask.class);
            assertEquals(starts.size(), attempt, "starts");
            WorkerEffect.StartTask start = starts.get(attempt - 1);
            cell.apply(
                    new TaskEvent.LookupFailed(
                            cell.state.nowMillis(), start.worker(), start.task().id(), "no disk"));
        }
        assertEquals(cell.effects(WorkerEffect.StartTask.class).size(), 2, "starts");
        var refusals = cell.effects(RequestEffect.Refuse.class);
        assertEquals(refusals.size(), 1, "answers");
        assertEquals(refusals.get(0).result().reason(), RefusalReason.TASK_FAILED);
        assertTrue(
                cell.placedTasks(WorkKind.LOOKUP, 0).isEmpty(), "the lookup still holds capacity");
    }

    /**
     * Guards against a worker whose capacity is exceeded by the usage of tasks that use more than
     * they declare.
     */
    @Test
    public void learnedSizesLimitPacking() {
        SingleEntryCell cell = SingleEntryCell.of(6, 1, Tuning.DEFAULT);
        Resources declared = Resources.of(1_000, 1_000, 0);
        cell.enqueueTasks("probe", WorkKind.BATCH, 0, 6, declared);
        for (int i = 0; i < 6; i++) {
            cell.reportTasks(SingleEntryCell.worker(i), List.of(), Resources.of(4_000, 1_000, 0));
        }
        for (RunningTask task : cell.placedTasks(WorkKind.BATCH, 0)) {
            cell.endTask(task, EndReason.SUCCEEDED);
        }
        cell.enqueueTasks("next", WorkKind.BATCH, 0, 60, declared);
        assertEquals(
                cell.placedTasks(WorkKind.BATCH, 0).size(),
                12,
                "expected two tasks of 4.4 cores per worker");
        LearnedSize small = LearnedSize.UNKNOWN;
        for (int i = 0; i < 10; i++) {
            small = small.plus(Resources.of(10, 10, 0), declared);
        }
        assertEquals(
                small.sizeFor(declared),
                Resources.of(500, 500, 0),
                "learned size is not half of the declared size");
    }

    /**
     * Guards against a worker whose capacity is exceeded by declared sizes, even if tasks use less.
     */
    @Test
    public void declaredSizesLimitPackingEvenIfTasksUseLess() {
        SingleEntryCell cell = SingleEntryCell.of(1, 1, Tuning.DEFAULT);
        Resources declared = Resources.of(1_000, 1_000, 0);
        for (int round = 0; round < 3; round++) {
            cell.enqueueTasks("job-" + round, WorkKind.BATCH, 0, 9, declared);
            for (RunningTask task : cell.placedTasks(WorkKind.BATCH, 0)) {
                cell.reportTasks(task.worker(), List.of(), Resources.of(100, 100, 0));
                cell.endTask(task, EndReason.SUCCEEDED);
            }
        }
        cell.enqueueTasks("last", WorkKind.BATCH, 0, 20, declared);
        assertTrue(cell.workerState(0).committed().fitsIn(SingleEntryCell.WORKER_CAPACITY));
        assertTrue(cell.placedTasks(WorkKind.BATCH, 0).size() <= 9);
    }
}
