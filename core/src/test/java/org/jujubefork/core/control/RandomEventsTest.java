package org.jujubefork.core.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Applies seeded random events to an entry and checks the entry's state after each event. */
public class RandomEventsTest {
    private static final int STEP_COUNT = 2_500;

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("jujube.firstSeed", 1_000);
        return LongStream.range(first, first + Integer.getInteger("jujube.seeds", 12))
                .mapToObj(s -> new Object[] {s})
                .toArray(Object[][]::new);
    }

    /**
     * Guards against missing or duplicate answers, "not run" answers for requests that ran,
     * overcommitted workers, and sums and indexes that differ from the tasks.
     */
    @Test(dataProvider = "seeds")
    public void stateStaysConsistent(long seed) {
        Simulation simulation = new Simulation(seed);
        for (int step = 0; step < STEP_COUNT; step++) {
            simulation.step();
            StateInvariants.check(simulation.cell.state, "seed " + seed + " step " + step);
        }
        simulation.completePending();
        assertEquals(simulation.answerCounts.keySet(), simulation.sentRequests, "seed " + seed);
        assertTrue(
                simulation.sentRequests.size() > 200,
                "seed " + seed + " sent only " + simulation.sentRequests.size());
    }

    /** Guards against decisions that depend on anything other than the state and the events. */
    @Test
    public void replayGivesTheSameEffects() {
        Simulation simulation = new Simulation(77);
        simulation.cell.history.clear();
        State start = simulation.cell.state;
        for (int step = 0; step < 500; step++) {
            simulation.eventStep();
        }
        List<Effect> first = replay(start, simulation.cell.history);
        assertEquals(replay(start, simulation.cell.history), first);
        assertFalse(first.isEmpty());
    }

    private static List<Effect> replay(State start, List<Event> events) {
        List<Effect> effects = new ArrayList<>();
        State state = start;
        for (Event event : events) {
            Transition transition = Reducer.reduce(state, event);
            state = transition.state();
            effects.addAll(transition.effects());
        }
        return effects;
    }

    /** Callers, workers and a store that act and answer at random. */
    private static final class Simulation {
        final Random random;
        final SingleEntryCell cell = SingleEntryCell.of(10, 3, Tuning.DEFAULT);
        final Set<RequestId> sentRequests = new HashSet<>();
        final Map<RequestId, Integer> answerCounts = new HashMap<>();
        final List<WorkerEffect.StartTask> pendingStarts = new ArrayList<>();
        final Set<RequestId> executedRequests = new HashSet<>();
        final Set<TaskId> startedTaskIds = new HashSet<>();
        final Map<String, ClaimRecord> claims = new HashMap<>();
        final List<StoreEffect> pendingStoreCalls = new ArrayList<>();
        int nextId;

        Simulation(long seed) {
            random = new Random(seed);
        }

        void step() {
            if (random.nextInt(12) == 0) {
                addWork();
            }
            eventStep();
        }

        void eventStep() {
            int choice = random.nextInt(100);
            if (choice < 30) {
                sendRequest();
            } else if (choice < 60) {
                answerStart();
            } else if (choice < 75) {
                answerStoreCall(random.nextInt(10) > 0);
            } else if (choice < 83) {
                endTask();
            } else if (choice < 86) {
                cancel();
            } else {
                tick(50 + random.nextInt(300));
            }
        }

        void addWork() {
            int team = random.nextInt(3);
            Resources size =
                    Resources.of(500 + random.nextInt(3_000), 500 + random.nextInt(3_000), 0);
            switch (random.nextInt(3)) {
                case 0 ->
                        cell.enqueueTasks(
                                "b" + nextId++, WorkKind.BATCH, team, 1 + random.nextInt(5), size);
                case 1 -> cell.enqueueTasks("s" + nextId++, WorkKind.SERVICE, team, 1, size);
                default -> cell.enqueueGang("g" + nextId++, team, 2 + random.nextInt(4), size);
            }
            handleEffects();
        }

        void sendRequest() {
            RequestId id = RequestId.of("r" + nextId++);
            int team = random.nextInt(3);
            int kind = random.nextInt(3);
            sentRequests.add(id);
            if (kind == 0) {
                cell.submitRequest(id.value(), QueueId.of("urgent-" + team));
            } else if (kind == 1) {
                cell.submitRequest(id.value(), SingleEntryCell.queue(WorkKind.LOOKUP, team));
            } else {
                cell.submitRequest(
                        id.value(),
                        SingleEntryCell.queue(WorkKind.COMMAND, team),
                        Optional.of("k" + random.nextInt(40)));
            }
            handleEffects();
        }

        void answerStart() {
            if (pendingStarts.isEmpty()) {
                return;
            }
            var start = pendingStarts.remove(random.nextInt(pendingStarts.size()));
            long now = cell.state.nowMillis();
            TaskId task = start.task().id();
            int choice = random.nextInt(20);
            boolean hasRun = choice < 14 || (choice == 14 && random.nextBoolean());
            if (hasRun) {
                start.request().ifPresent(executedRequests::add);
            }
            TaskEvent event;
            if (choice < 14) {
                event =
                        start.request().isPresent()
                                ? new TaskEvent.RequestFinished(
                                        now, start.worker(), task, choice > 0, 100)
                                : new TaskEvent.StartAccepted(now, start.worker(), task);
            } else if (choice == 14) {
                event = new TaskEvent.StartUnknown(now, start.worker(), task, "reset");
            } else if (choice == 15) {
                event = new TaskEvent.StartNotSent(now, start.worker(), task);
            } else {
                StartRefusal reason = choice < 18 ? StartRefusal.NO_SLOT : StartRefusal.NO_CAPACITY;
                event =
                        new TaskEvent.StartRefused(
                                now, start.worker(), task, reason, Optional.empty());
            }
            cell.apply(event);
            handleEffects();
        }

        void answerStoreCall(boolean storeAvailable) {
            if (pendingStoreCalls.isEmpty()) {
                return;
            }
            StoreEffect call = pendingStoreCalls.remove(random.nextInt(pendingStoreCalls.size()));
            long now = cell.state.nowMillis();
            switch (call) {
                case StoreEffect.CreateClaim create -> {
                    ClaimRecord existing =
                            storeAvailable
                                    ? claims.putIfAbsent(create.claimKey(), create.claim())
                                    : null;
                    cell.apply(
                            !storeAvailable
                                    ? new ClaimEvent.ClaimFailed(now, create.request(), false)
                                    : existing == null
                                            ? new ClaimEvent.ClaimCreated(now, create.request(), 1)
                                            : new ClaimEvent.ClaimExists(
                                                    now, create.request(), existing));
                }
                case StoreEffect.SettleClaim settle -> {
                    if (storeAvailable) {
                        claims.put(settle.claimKey(), settle.claim());
                    }
                    cell.apply(new ClaimEvent.ClaimSettled(now, settle.request(), storeAvailable));
                }
                case StoreEffect.ReleaseClaim release -> {
                    if (storeAvailable) {
                        claims.computeIfPresent(
                                release.claimKey(),
                                (k, r) -> r.request().equals(release.request()) ? null : r);
                    }
                    cell.apply(new ClaimEvent.ClaimSettled(now, release.request(), storeAvailable));
                }
                case StoreEffect.ReadClaim read -> {
                    ClaimRecord existing = claims.get(read.claimKey());
                    cell.apply(
                            existing == null
                                    ? new ClaimEvent.ClaimGone(now, read.request())
                                    : new ClaimEvent.ClaimExists(now, read.request(), existing));
                }
                default -> throw new IllegalStateException("unexpected call " + call);
            }
            handleEffects();
        }

        void endTask() {
            List<RunningTask> running =
                    cell.shard().tasks().values().stream()
                            .filter(t -> t.spec().jobTask().isPresent())
                            .filter(
                                    t ->
                                            pendingStarts.stream()
                                                    .noneMatch(s -> s.task().equals(t.spec())))
                            .toList();
            if (running.isEmpty()) {
                return;
            }
            RunningTask task = running.get(random.nextInt(running.size()));
            EndReason reason = random.nextInt(5) == 0 ? EndReason.FAILED : EndReason.SUCCEEDED;
            cell.reportTasks(
                    task.worker(),
                    List.of(new EndedTask(task.spec(), reason, "", 1)),
                    Resources.of(random.nextInt(3_000), random.nextInt(3_000), 0));
            handleEffects();
        }

        void cancel() {
            List<RequestId> active = List.copyOf(cell.state.requests().active().keySet());
            if (!active.isEmpty()) {
                cell.apply(
                        new RequestEvent.RequestCancelled(
                                cell.state.nowMillis(), active.get(random.nextInt(active.size()))));
                handleEffects();
            }
        }

        void tick(long millis) {
            cell.advance(millis);
            handleEffects();
        }

        /** Answers all pending starts and store calls, and lets all deadlines pass. */
        void completePending() {
            for (int i = 0; i < 400; i++) {
                while (!pendingStarts.isEmpty()) {
                    answerStart();
                }
                while (!pendingStoreCalls.isEmpty()) {
                    answerStoreCall(true);
                }
                tick(100);
            }
        }

        private void handleEffects() {
            List<Effect> effects = new ArrayList<>(cell.effects);
            cell.effects.clear();
            for (Effect effect : effects) {
                switch (effect) {
                    case WorkerEffect.StartTask start -> {
                        assertTrue(
                                startedTaskIds.add(start.task().id()),
                                "duplicate task id: " + start);
                        pendingStarts.add(start);
                    }
                    case WorkerEffect.RenewLease lease -> answerRenewal(lease);
                    case WorkerEffect.StopTask stop -> {
                        if (random.nextInt(3) > 0) {
                            cell.apply(
                                    new TaskEvent.StopConfirmed(
                                            cell.state.nowMillis(), stop.worker(), stop.task()));
                            pendingStarts.removeIf(s -> s.task().id().equals(stop.task()));
                        }
                    }
                    case StoreEffect call -> pendingStoreCalls.add(call);
                    case RequestEffect.Refuse refusal -> checkRefusal(refusal);
                    case RequestEffect.ReleaseAnswer answer -> recordAnswer(answer.request());
                    case RequestEffect.ReplayAnswer answer -> recordAnswer(answer.request());
                    default -> {}
                }
            }
            if (!cell.effects.isEmpty()) {
                handleEffects();
            }
        }

        private void answerRenewal(WorkerEffect.RenewLease lease) {
            if (random.nextInt(20) == 0) {
                cell.apply(
                        new FleetEvent.LeaseFailed(
                                cell.state.nowMillis(), lease.worker(), lease.epoch()));
            } else {
                cell.reportTasks(lease.worker(), List.of(), Resources.ZERO);
            }
        }

        private void checkRefusal(RequestEffect.Refuse refusal) {
            recordAnswer(refusal.request());
            if (refusal.result().outcome() == Outcome.NOT_RUN) {
                assertFalse(
                        executedRequests.contains(refusal.request()),
                        "refused as not run, but ran: " + refusal);
                assertTrue(
                        pendingStarts.stream()
                                .noneMatch(s -> s.request().equals(Optional.of(refusal.request()))),
                        "refused as not run, but a start is pending: " + refusal);
            }
        }

        private void recordAnswer(RequestId id) {
            assertEquals((int) answerCounts.merge(id, 1, Integer::sum), 1, "answered twice: " + id);
        }
    }

    /** Guards against a claim that stays in state CLAIMED after its request was answered. */
    @Test
    public void settlesAllClaims() {
        Simulation simulation = new Simulation(5);
        for (int step = 0; step < STEP_COUNT; step++) {
            simulation.eventStep();
        }
        for (int i = 0; i < 10; i++) {
            simulation.completePending();
        }
        for (ClaimRecord claim : simulation.claims.values()) {
            assertTrue(claim.state() != ClaimState.CLAIMED, "claim was not settled: " + claim);
        }
    }
}
