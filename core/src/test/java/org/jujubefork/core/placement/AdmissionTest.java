package org.jujubefork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/** Tests full queues, deadlines and rejected starts. */
public class AdmissionTest {
    private static final int RUNNING_REQUESTS_PER_WORKER =
            SingleEntryCell.SLOTS_PER_WORKER - Tuning.DEFAULT.reservedSlots();

    private static Tuning tuningWithMaxQueued(int maxQueued) {
        return new Tuning(
                30_000, 10_000, Resources.of(1_000, 1_024, 0), 2, maxQueued, 3, 5, 30_000, 2, 40);
    }

    private static List<RequestEffect.Refuse> refusals(SingleEntryCell cell) {
        return cell.effects(RequestEffect.Refuse.class);
    }

    /** Guards against a team that floods the queue and displaces the requests of other teams. */
    @Test
    public void newestRequestOfTeamFarthestAboveItsShareIsShed() {
        SingleEntryCell cell = SingleEntryCell.of(1, 2, tuningWithMaxQueued(30));
        for (int i = 0; i < RUNNING_REQUESTS_PER_WORKER + 30; i++) {
            cell.submitRequest("flood-" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 0));
        }
        assertTrue(refusals(cell).isEmpty());
        cell.submitRequest("other", SingleEntryCell.queue(WorkKind.LOOKUP, 1));
        assertEquals(refusals(cell).size(), 1);
        RequestEffect.Refuse refusal = refusals(cell).get(0);
        assertEquals(refusal.request().value(), "flood-" + (RUNNING_REQUESTS_PER_WORKER + 29));
        assertEquals(refusal.result().outcome(), Outcome.NOT_RUN);
        assertEquals(refusal.result().reason(), RefusalReason.OVERLOADED);
        assertTrue(refusal.result().retryAfterMillis() > 0);
        assertTrue(cell.shard().queue().request(RequestId.of("other")).isPresent());
    }

    /** Guards against a queue that grows without bound. */
    @Test
    public void queueIsBounded() {
        SingleEntryCell cell = SingleEntryCell.of(1, 1, Tuning.DEFAULT);
        for (int i = 0; i < 500; i++) {
            cell.submitRequest("r" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 0));
        }
        assertEquals(cell.shard().queue().requestCount(), 100);
        assertEquals(refusals(cell).size(), 500 - 100 - RUNNING_REQUESTS_PER_WORKER);
    }

    /** Guards against requests that are queued although they cannot start before their deadline. */
    @Test
    public void requestsThatWouldMissTheirDeadlineAreRejectedAtOnce() {
        SingleEntryCell cell = SingleEntryCell.of(1, 1, Tuning.DEFAULT);
        for (int i = 0; i < 20; i++) {
            cell.submitRequest("r" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 0));
        }
        // At one completed request per second, 20 queued requests take longer than the 10 s
        // allowed.
        for (int i = 0; i < 6; i++) {
            RunningTask task = cell.placedTasks(WorkKind.LOOKUP, 0).get(0);
            cell.apply(
                    new TaskEvent.RequestFinished(
                            cell.state.nowMillis(), task.worker(), task.spec().id(), true, 1));
            cell.submitRequest("more-" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 0));
            cell.advance(1_000);
        }
        cell.effects.clear();
        for (int i = 0; i < 20; i++) {
            cell.submitRequest("late-" + i, SingleEntryCell.queue(WorkKind.LOOKUP, 0));
        }
        var lastResult = refusals(cell).get(refusals(cell).size() - 1).result();
        assertEquals(lastResult.reason(), RefusalReason.OVERLOADED);
        assertTrue(
                lastResult.retryAfterMillis() >= 3_000,
                "retry-after does not follow the drain rate: " + lastResult);
    }

    /** Guards against a large number of cancellations that blocks the control thread. */
    @Test
    public void manyCancellationsAreProcessedQuickly() {
        SingleEntryCell cell = SingleEntryCell.of(1, 60, Tuning.DEFAULT);
        for (int i = 0; i < 6_000; i++) {
            cell.submitRequest("r" + i, SingleEntryCell.queue(WorkKind.LOOKUP, i % 60));
        }
        int waitingCount = cell.shard().queue().requestCount();
        assertTrue(waitingCount > 5_000);
        long start = System.nanoTime();
        for (int i = 0; i < 6_000; i++) {
            cell.apply(
                    new RequestEvent.RequestCancelled(
                            cell.state.nowMillis(), RequestId.of("r" + i)));
        }
        long millis = (System.nanoTime() - start) / 1_000_000;
        assertEquals(cell.shard().queue().requestCount(), 0);
        assertTrue(millis < 2_000, "6,000 cancellations took " + millis + " ms");
    }

    /** Guards against a rejected start that costs a round trip to the caller's entry. */
    @Test
    public void rejectedStartReturnsToTheHeadOfItsLane() {
        SingleEntryCell cell = SingleEntryCell.of(2, 1, Tuning.DEFAULT);
        QueueId queue = SingleEntryCell.queue(WorkKind.LOOKUP, 0);
        for (int i = 0; i < 2 * RUNNING_REQUESTS_PER_WORKER + 2; i++) {
            cell.submitRequest("r" + i, queue);
        }
        RunningTask firstTask = cell.placedTasks(WorkKind.LOOKUP, 0).get(0);
        RequestId id = firstTask.origin().orElseThrow().request();
        rejectStart(cell, firstTask);
        LaneKey lane = new LaneKey(Lane.REQUEST, SingleEntryCell.team(0));
        var head = (QueuedWork.Request) cell.shard().queue().head(lane).orElseThrow().getValue();
        assertEquals(head.origin().request(), id);
        assertTrue(refusals(cell).isEmpty());
    }

    /** Guards against a request whose start is sent to one worker after another without limit. */
    @Test
    public void rejectedStartsAreBounded() {
        SingleEntryCell cell = SingleEntryCell.of(9, 1, Tuning.DEFAULT);
        cell.submitRequest("r", SingleEntryCell.queue(WorkKind.LOOKUP, 0));
        int startCount = 0;
        while (!cell.placedTasks(WorkKind.LOOKUP, 0).isEmpty() && startCount < 100) {
            startCount++;
            rejectStart(cell, cell.placedTasks(WorkKind.LOOKUP, 0).get(0));
        }
        assertTrue(startCount <= 9 && refusals(cell).size() <= 1, "starts: " + startCount);
    }

    private static void rejectStart(SingleEntryCell cell, RunningTask task) {
        cell.apply(
                new TaskEvent.StartRefused(
                        cell.state.nowMillis(),
                        task.worker(),
                        task.spec().id(),
                        StartRefusal.NO_SLOT,
                        Optional.empty()));
    }

    /** Guards against replicas of a service that are all lost with one rack. */
    @Test
    public void replicasAreSpreadOverRacksAndWorkers() {
        SingleEntryCell cell = SingleEntryCell.of(16, 1, Tuning.DEFAULT);
        cell.enqueueTasks("web", WorkKind.SERVICE, 0, 8, Resources.of(1_000, 1_000, 0));
        ReplicaCounts replicas = cell.shard().taskIndex().replicasByJob().firstEntry().getValue();
        assertEquals(replicas.byRack().size(), 4);
        assertTrue(replicas.byRack().values().stream().allMatch(n -> n == 2));
        assertEquals(replicas.byWorker().size(), 8);
        assertEquals(cell.effects(WorkerEffect.StartTask.class).size(), 8);
    }
}
