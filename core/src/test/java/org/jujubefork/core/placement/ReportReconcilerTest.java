package org.jujubefork.core.placement;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Tests worker reports that arrive late. */
public class ReportReconcilerTest {
    private static final Resources SIZE = Resources.of(1_000, 1_000, 0);
    private static final WorkerId WORKER = SingleEntryCell.worker(0);
    private static final int SEEDS = 20;
    private static final int STEPS = 60;

    /**
     * A worker whose lease answers can be delayed. It runs the tasks that are started on its
     * current incarnation.
     */
    private static final class RestartingWorker {
        final SingleEntryCell cell = SingleEntryCell.of(1, 1, Tuning.DEFAULT);
        final List<FleetEvent.LeaseGranted> delayedAnswers = new ArrayList<>();
        List<TaskId> running = List.of();
        long incarnation = 1;

        FleetEvent.LeaseGranted answer() {
            List<ReportedTask> tasks = new ArrayList<>();
            for (TaskId id : running) {
                tasks.add(new ReportedTask(cell.shard().tasks().get(id).spec(), SIZE, 0));
            }
            long now = cell.state.nowMillis();
            WorkerReport report =
                    new WorkerReport(
                            incarnation,
                            false,
                            SingleEntryCell.WORKER_CAPACITY,
                            SingleEntryCell.SLOTS_PER_WORKER,
                            TreePVector.from(tasks),
                            TreePVector.empty());
            return new FleetEvent.LeaseGranted(now, WORKER, cell.shard().epoch(), now, report);
        }

        void restart() {
            delayedAnswers.add(answer());
            incarnation++;
            running = List.of();
            cell.apply(answer());
            recordStarts();
        }

        void enqueue(int step) {
            cell.enqueueTasks("job-" + step, WorkKind.BATCH, 0, 1, SIZE);
            recordStarts();
            cell.acceptStarts();
        }

        void deliverDelayed(int index) {
            FleetEvent.LeaseGranted answer = delayedAnswers.remove(index);
            cell.apply(
                    new FleetEvent.LeaseGranted(
                            cell.state.nowMillis(),
                            WORKER,
                            answer.epoch(),
                            answer.sentAtMillis(),
                            answer.report()));
            recordStarts();
        }

        private void recordStarts() {
            List<TaskId> started = new ArrayList<>(running);
            for (var start : cell.effects(WorkerEffect.StartTask.class)) {
                if (start.incarnation() == incarnation) {
                    started.add(start.task().id());
                }
            }
            cell.effects.clear();
            running = started;
        }
    }

    /**
     * Guards against applying a late answer of an earlier incarnation of a worker. The owner then
     * considered the tasks of the current incarnation lost and started replacements, so that a team
     * exceeded its upper limit (seed 1884 of {@code ReducerFaultsTest}).
     */
    @Test
    public void lateReportOfEarlierIncarnationIsIgnored() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RestartingWorker worker = new RestartingWorker();
            for (int step = 0; step < STEPS; step++) {
                worker.cell.advance(10);
                switch (random.nextInt(4)) {
                    case 0 -> worker.restart();
                    case 1 -> {
                        if (!worker.delayedAnswers.isEmpty()) {
                            worker.deliverDelayed(random.nextInt(worker.delayedAnswers.size()));
                        }
                    }
                    default -> worker.enqueue(step);
                }
                String context = "seed " + seed + " step " + step;
                var placed = worker.cell.shard().tasks().keySet();
                assertEquals(
                        placed.stream().sorted().toList(),
                        worker.running.stream().sorted().toList(),
                        context);
                assertEquals(worker.cell.workerState(0).incarnation(), worker.incarnation, context);
            }
        }
    }
}
