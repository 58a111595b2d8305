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

/** Applies seeded random events and checks the state after each of them. */
public class RandomEventsTest {
    private static final int STEPS = 2_500;

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("jujube.firstSeed", 1_000);
        return LongStream.range(first, first + Integer.getInteger("jujube.seeds", 12))
                .mapToObj(s -> new Object[] {s})
                .toArray(Object[][]::new);
    }

    /**
     * Guards against lost or doubled answers, untrue "not run" answers, overcommitted workers, and
     * sums that drift from the tasks.
     */
    @Test(dataProvider = "seeds")
    public void stateStaysConsistent(long seed) {
        World world = new World(seed);
        for (int step = 0; step < STEPS; step++) {
            world.step();
            Invariants.check(world.cell.state, "seed " + seed + " step " + step);
        }
        world.drain();
        assertEquals(world.answers.keySet(), world.sent, "seed " + seed);
        assertTrue(world.sent.size() > 200, "seed " + seed + " sent only " + world.sent.size());
    }

    /** Guards against decisions that depend on anything but state and events. */
    @Test
    public void replayGivesTheSameEffects() {
        World world = new World(77);
        world.cell.history.clear();
        State start = world.cell.state;
        for (int step = 0; step < 500; step++) {
            world.eventStep();
        }
        List<Effect> first = replay(start, world.cell.history);
        assertEquals(replay(start, world.cell.history), first);
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

    /** Workers, callers and a store that answer at random. */
    private static final class World {
        final Random random;
        final Cell cell = Cell.of(10, 3, Tuning.DEFAULT);
        final Set<RequestId> sent = new HashSet<>();
        final Map<RequestId, Integer> answers = new HashMap<>();
        final List<WorkerEffect.StartTask> openStarts = new ArrayList<>();
        final Set<RequestId> started = new HashSet<>();
        final Set<TaskId> startIds = new HashSet<>();
        final Map<String, ClaimRecord> claims = new HashMap<>();
        final List<StoreEffect> storeCalls = new ArrayList<>();
        int number;

        World(long seed) {
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
                arrive();
            } else if (choice < 60) {
                answerStart();
            } else if (choice < 75) {
                answerStore(random.nextInt(10) > 0);
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
                        cell.enqueue(
                                "b" + number++, WorkKind.BATCH, team, 1 + random.nextInt(5), size);
                case 1 -> cell.enqueue("s" + number++, WorkKind.SERVICE, team, 1, size);
                default -> cell.gang("g" + number++, team, 2 + random.nextInt(4), size);
            }
            handle();
        }

        void arrive() {
            RequestId id = RequestId.of("r" + number++);
            int team = random.nextInt(3);
            int kind = random.nextInt(3);
            sent.add(id);
            if (kind == 0) {
                cell.request(id.value(), QueueId.of("urgent-" + team));
            } else if (kind == 1) {
                cell.request(id.value(), Cell.queue(WorkKind.LOOKUP, team));
            } else {
                cell.request(
                        id.value(),
                        Cell.queue(WorkKind.COMMAND, team),
                        Optional.of("k" + random.nextInt(40)));
            }
            handle();
        }

        void answerStart() {
            if (openStarts.isEmpty()) {
                return;
            }
            var start = openStarts.remove(random.nextInt(openStarts.size()));
            long now = cell.state.nowMillis();
            TaskId task = start.task().id();
            int choice = random.nextInt(20);
            boolean ran = choice < 14 || (choice == 14 && random.nextBoolean());
            if (ran) {
                start.request().ifPresent(started::add);
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
            handle();
        }

        void answerStore(boolean works) {
            if (storeCalls.isEmpty()) {
                return;
            }
            StoreEffect call = storeCalls.remove(random.nextInt(storeCalls.size()));
            long now = cell.state.nowMillis();
            switch (call) {
                case StoreEffect.CreateClaim c -> {
                    ClaimRecord existing =
                            works ? claims.putIfAbsent(c.claimKey(), c.claim()) : null;
                    cell.apply(
                            !works
                                    ? new ClaimEvent.ClaimFailed(now, c.request(), false)
                                    : existing == null
                                            ? new ClaimEvent.ClaimCreated(now, c.request(), 1)
                                            : new ClaimEvent.ClaimExists(
                                                    now, c.request(), existing));
                }
                case StoreEffect.SettleClaim c -> {
                    if (works) {
                        claims.put(c.claimKey(), c.claim());
                    }
                    cell.apply(new ClaimEvent.ClaimSettled(now, c.request(), works));
                }
                case StoreEffect.ReleaseClaim c -> {
                    if (works) {
                        claims.computeIfPresent(
                                c.claimKey(), (k, r) -> r.request().equals(c.request()) ? null : r);
                    }
                    cell.apply(new ClaimEvent.ClaimSettled(now, c.request(), works));
                }
                case StoreEffect.ReadClaim c -> {
                    ClaimRecord existing = claims.get(c.claimKey());
                    cell.apply(
                            existing == null
                                    ? new ClaimEvent.ClaimGone(now, c.request())
                                    : new ClaimEvent.ClaimExists(now, c.request(), existing));
                }
                default -> throw new IllegalStateException("unexpected call " + call);
            }
            handle();
        }

        void endTask() {
            List<RunningTask> running =
                    cell.shard().tasks().values().stream()
                            .filter(t -> t.spec().job().isPresent())
                            .filter(
                                    t ->
                                            openStarts.stream()
                                                    .noneMatch(s -> s.task().equals(t.spec())))
                            .toList();
            if (running.isEmpty()) {
                return;
            }
            RunningTask task = running.get(random.nextInt(running.size()));
            EndReason reason = random.nextInt(5) == 0 ? EndReason.FAILED : EndReason.SUCCEEDED;
            cell.report(
                    task.worker(),
                    List.of(new EndedTask(task.spec(), reason, "", 1)),
                    Resources.of(random.nextInt(3_000), random.nextInt(3_000), 0));
            handle();
        }

        void cancel() {
            List<RequestId> active = List.copyOf(cell.state.requests().active().keySet());
            if (!active.isEmpty()) {
                cell.apply(
                        new RequestEvent.RequestCancelled(
                                cell.state.nowMillis(), active.get(random.nextInt(active.size()))));
                handle();
            }
        }

        void tick(long millis) {
            cell.tick(millis);
            handle();
        }

        /** Answers everything that is open and lets all deadlines pass. */
        void drain() {
            for (int i = 0; i < 400; i++) {
                while (!openStarts.isEmpty()) {
                    answerStart();
                }
                while (!storeCalls.isEmpty()) {
                    answerStore(true);
                }
                tick(100);
            }
        }

        private void handle() {
            List<Effect> effects = new ArrayList<>(cell.effects);
            cell.effects.clear();
            for (Effect effect : effects) {
                switch (effect) {
                    case WorkerEffect.StartTask start -> {
                        assertTrue(startIds.add(start.task().id()), "id used twice: " + start);
                        openStarts.add(start);
                    }
                    case WorkerEffect.RenewLease lease -> renewed(lease);
                    case WorkerEffect.StopTask stop -> {
                        if (random.nextInt(3) > 0) {
                            cell.apply(
                                    new TaskEvent.StopConfirmed(
                                            cell.state.nowMillis(), stop.worker(), stop.task()));
                            openStarts.removeIf(s -> s.task().id().equals(stop.task()));
                        }
                    }
                    case StoreEffect call -> storeCalls.add(call);
                    case RequestEffect.Refuse refusal -> refused(refusal);
                    case RequestEffect.ReleaseAnswer answer -> answered(answer.request());
                    case RequestEffect.ReplayAnswer answer -> answered(answer.request());
                    default -> {}
                }
            }
            if (!cell.effects.isEmpty()) {
                handle();
            }
        }

        private void renewed(WorkerEffect.RenewLease lease) {
            if (random.nextInt(20) == 0) {
                cell.apply(
                        new FleetEvent.LeaseFailed(
                                cell.state.nowMillis(), lease.worker(), lease.epoch()));
            } else {
                cell.report(lease.worker(), List.of(), Resources.ZERO);
            }
        }

        private void refused(RequestEffect.Refuse refusal) {
            answered(refusal.request());
            if (refusal.result().outcome() == Outcome.NOT_RUN) {
                assertFalse(started.contains(refusal.request()), "ran: " + refusal);
                assertTrue(
                        openStarts.stream()
                                .noneMatch(s -> s.request().equals(Optional.of(refusal.request()))),
                        "start is open: " + refusal);
            }
        }

        private void answered(RequestId id) {
            assertEquals((int) answers.merge(id, 1, Integer::sum), 1, "answered twice: " + id);
        }
    }

    /** Guards against a claim that is left behind as claimed once its request has been answered. */
    @Test
    public void claimsAreSettled() {
        World world = new World(5);
        for (int step = 0; step < STEPS; step++) {
            world.eventStep();
        }
        for (int i = 0; i < 10; i++) {
            world.drain();
        }
        for (ClaimRecord claim : world.claims.values()) {
            assertTrue(claim.state() != ClaimState.CLAIMED, "left behind: " + claim);
        }
    }
}
