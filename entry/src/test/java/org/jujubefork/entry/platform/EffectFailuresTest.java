package org.jujubefork.entry.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.telemetry.DaemonMetrics;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Guards against effects that post no event because their executor threw a runtime exception. */
public final class EffectFailuresTest {
    private static final RequestId REQUEST = RequestId.of("e1-1");
    private static final EntryId ENTRY = EntryId.of("e1", 1);
    private static final Epoch EPOCH = Epoch.of(1, ENTRY);
    private static final WorkerId WORKER = WorkerId.of("w1");
    private static final TaskId TASK = TaskId.of("t1");
    private static final String ADDRESS = "127.0.0.1:1";

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    private Event nextEvent() throws InterruptedException {
        Event event = events.poll(5, TimeUnit.SECONDS);
        assertNotNull(event, "no event");
        return event;
    }

    private Event eventAfter(StoreEffect effect) throws InterruptedException {
        // The store client is null, so each call throws a runtime exception.
        new StoreExecutor(null, new RequestRegistry(), () -> 0, events::add, DaemonMetrics.create())
                .execute(effect);
        return nextEvent();
    }

    private Event eventAfter(WorkerEffect effect) throws InterruptedException {
        new WorkerExecutor(null, new RequestRegistry(), () -> 0, events::add).execute(effect);
        return nextEvent();
    }

    private static ClaimRecord claim(ClaimState state) {
        return new ClaimRecord(REQUEST, ENTRY, state);
    }

    @Test
    public void storeEffectsThatThrowPostAnEvent() throws InterruptedException {
        assertEquals(
                eventAfter(new StoreEffect.CreateClaim(REQUEST, "k", claim(ClaimState.CLAIMED))),
                new ClaimEvent.ClaimFailed(0, REQUEST, true));
        assertEquals(
                eventAfter(new StoreEffect.ReadClaim(REQUEST, "k")),
                new ClaimEvent.ClaimFailed(0, REQUEST, false));
        assertEquals(
                eventAfter(new StoreEffect.SettleClaim(REQUEST, "k", claim(ClaimState.UNKNOWN))),
                new ClaimEvent.ClaimSettled(0, REQUEST, false));
        assertEquals(
                eventAfter(new StoreEffect.ReleaseClaim(REQUEST, "k")),
                new ClaimEvent.ClaimSettled(0, REQUEST, false));
        assertEquals(
                eventAfter(new StoreEffect.WriteLedger(0, Ledger.EMPTY)),
                new LimitEvent.LedgerWriteFailed(0, true));
    }

    @Test
    public void workerEffectsThatThrowPostAnEvent() throws InterruptedException {
        assertEquals(
                eventAfter(new WorkerEffect.AcquireLease(WORKER, ADDRESS, EPOCH, 1_000)),
                new FleetEvent.LeaseFailed(0, WORKER, EPOCH));
        assertEquals(
                eventAfter(
                        new WorkerEffect.RenewLease(
                                WORKER, ADDRESS, EPOCH, 1_000, TreePVector.empty())),
                new FleetEvent.LeaseFailed(0, WORKER, EPOCH));
        assertEquals(
                eventAfter(new WorkerEffect.StopTask(WORKER, ADDRESS, EPOCH, TASK, StopMode.STOP)),
                new TaskEvent.StopFailed(0, WORKER, TASK));
        TaskSpec task =
                new TaskSpec(
                        TASK,
                        TeamId.of("t"),
                        QueueId.of("q"),
                        WorkKind.BATCH,
                        Resources.of(1, 1, 0),
                        Optional.empty(),
                        "");
        Event startEvent =
                eventAfter(
                        new WorkerEffect.StartTask(
                                WORKER, ADDRESS, EPOCH, 1, task, Optional.empty()));
        assertEquals(startEvent.getClass(), TaskEvent.StartUnknown.class);
    }
}
