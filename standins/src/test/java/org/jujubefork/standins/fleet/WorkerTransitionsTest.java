package org.jujubefork.standins.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.check.CapacityChecker;
import org.jujubefork.standins.history.check.SinglePlaceChecker;
import org.testng.annotations.Test;

/** Guards the rules of a worker apart from HTTP, timers and threads. */
public final class WorkerTransitionsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Epoch FIRST = Fleets.epoch(1, "entry-1");
    private static final WorkerTransitions LENIENT = new WorkerTransitions(false);

    private static WorkerState leased(long nowNanos) {
        WorkerState initial = WorkerState.initial(Fleets.worker("w1"), 1);
        return LENIENT.apply(initial, new WorkerCommand.Lease(FIRST, 30 * SECOND), nowNanos)
                .state();
    }

    private static WorkerCommand.Start start(String id, WorkKind kind, String input) {
        TaskSpec spec = Fleets.task(id, kind, "");
        return new WorkerCommand.Start(FIRST, 1, spec, TaskBehavior.parse(Fleets.bytes(input)));
    }

    @Test
    public void startsNeedALease() {
        WorkerState initial = WorkerState.initial(Fleets.worker("w1"), 1);
        assertRefused(LENIENT.apply(initial, start("t", WorkKind.BATCH, ""), 0), "STALE_EPOCH");
    }

    @Test
    public void ofTwoHoldersOfOneNumberTheHigherWins() {
        WorkerState state = leased(0);
        Epoch higher = Fleets.epoch(1, "entry-2");
        WorkerStep taken = LENIENT.apply(state, new WorkerCommand.Lease(higher, SECOND), 1);
        assertEquals(taken.state().epoch().orElseThrow(), higher);
        assertRefused(
                LENIENT.apply(taken.state(), new WorkerCommand.Lease(FIRST, SECOND), 2),
                "STALE_EPOCH");
    }

    @Test
    public void epochSurvivesARestart() {
        WorkerState state = leased(0);
        state = LENIENT.apply(state, new WorkerCommand.Restart(), 1).state();
        Epoch lower = Fleets.epoch(0, "entry-9");
        assertRefused(
                LENIENT.apply(state, new WorkerCommand.Lease(lower, SECOND), 2), "STALE_EPOCH");
    }

    /** An owner that must learn of a restart would step down if it were told of a stale epoch. */
    @Test
    public void workerThatLostItsEpochReportsItsIncarnation() {
        WorkerState fresh = WorkerState.initial(Fleets.worker("w1"), 2);
        assertRefused(LENIENT.apply(fresh, start("t", WorkKind.BATCH, ""), 0), "WRONG_INCARNATION");
        assertRefused(
                LENIENT.apply(fresh, new WorkerCommand.Renew(FIRST, SECOND, List.of()), 0),
                "NO_LEASE");
        assertRefused(
                LENIENT.apply(fresh, new WorkerCommand.Stop(FIRST, TaskId.of("t")), 0),
                "NO_SUCH_TASK");
    }

    /**
     * A start that is delayed on the network must not run after the owner was told that it is
     * stopped.
     */
    @Test
    public void stoppedTaskIsNotStartedLater() {
        WorkerState state =
                LENIENT.apply(leased(0), new WorkerCommand.Stop(FIRST, TaskId.of("t")), 0).state();
        assertRefused(LENIENT.apply(state, start("t", WorkKind.BATCH, "{}"), 0), "DUPLICATE");
    }

    @Test
    public void usageLags() {
        WorkerState state = leased(0);
        state =
                LENIENT.apply(
                                state,
                                start("t", WorkKind.SERVICE, "{\"usageCpuMillis\":400}"),
                                SECOND)
                        .state();
        SimulatedTask task = state.running().get(TaskId.of("t"));
        assertEquals(task.usage(2 * SECOND, 2 * SECOND), Resources.ZERO);
        assertEquals(task.usage(3 * SECOND, 2 * SECOND), Resources.of(400, 1_000, 0));
    }

    @Test
    public void checkpointReportsProgress() {
        WorkerState state = leased(0);
        state = LENIENT.apply(state, start("t", WorkKind.BATCH, "{\"runMillis\":9000}"), 0).state();
        WorkerStep step =
                LENIENT.apply(
                        state, new WorkerCommand.Checkpoint(FIRST, TaskId.of("t")), 4 * SECOND);
        assertEquals(step.ended().get(0).reason(), EndReason.CHECKPOINTED);
        assertEquals(step.ended().get(0).progressMillis(), 4_000);
    }

    @Test
    public void taskThatWasDueBeforeTheLapseSucceeded() {
        WorkerState state = leased(0);
        state = LENIENT.apply(state, start("a", WorkKind.BATCH, "{\"runMillis\":1000}"), 0).state();
        state =
                LENIENT.apply(state, start("b", WorkKind.BATCH, "{\"runMillis\":90000}"), 0)
                        .state();
        WorkerStep step = LENIENT.apply(state, new WorkerCommand.Tick(), 60 * SECOND);
        assertEquals(step.state().ended().get(TaskId.of("a")).reason(), EndReason.SUCCEEDED);
        assertEquals(step.state().ended().get(TaskId.of("b")).reason(), EndReason.LEASE_EXPIRED);
        assertTrue(step.state().leaseEndsNanos().isEmpty());
    }

    /** Random commands with enforced capacity; the recorded history must satisfy the checkers. */
    @Test
    public void randomCommandsKeepTheHistoryConsistent() {
        for (long seed = 1; seed <= 20; seed++) {
            checkRandomRun(seed);
        }
    }

    private static void checkRandomRun(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WorkerTransitions strict = new WorkerTransitions(true);
        WorkerState state = WorkerState.initial(Fleets.worker("w1"), 1);
        List<HistoryEvent> history = new ArrayList<>();
        history.add(event(Notes.worker(state), 0));
        long now = 0;
        int starts = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextLong(SECOND);
            WorkerStep step = strict.apply(state, command(random, state, i), now);
            for (WorkerStep.Note note : step.notes()) {
                history.add(event(note, now));
                starts += note.type() == EventType.START ? 1 : 0;
            }
            state = step.state();
        }
        String what = "seed " + seed;
        assertTrue(starts > 50, what + " has only " + starts + " starts");
        assertEquals(new CapacityChecker().check(history), List.of(), what);
        assertEquals(new SinglePlaceChecker().check(history), List.of(), what);
    }

    private static WorkerCommand command(SplittableRandom random, WorkerState state, int i) {
        Epoch current = state.epoch().orElse(FIRST);
        Epoch epoch = random.nextInt(10) == 0 ? FIRST : current;
        TaskId any =
                state.running().isEmpty()
                        ? TaskId.of("none")
                        : state.running().keySet().iterator().next();
        return switch (random.nextInt(12)) {
            case 0 ->
                    new WorkerCommand.Lease(
                            Fleets.epoch(current.number() + random.nextInt(2), "entry-2"),
                            20 * SECOND);
            case 1, 2 ->
                    new WorkerCommand.Renew(
                            epoch, 20 * SECOND, List.copyOf(state.ended().keySet()));
            case 3 -> new WorkerCommand.Stop(epoch, any);
            case 4 -> new WorkerCommand.Checkpoint(epoch, any);
            case 5 ->
                    random.nextInt(20) == 0
                            ? new WorkerCommand.Restart()
                            : new WorkerCommand.Tick();
            default -> {
                Resources size = Resources.of(random.nextInt(9_000), random.nextInt(40_000), 0);
                TaskSpec spec = Fleets.task("t" + i, WorkKind.LOOKUP, size, "");
                String input = "{\"runMillis\":" + random.nextInt(30_000) + "}";
                yield new WorkerCommand.Start(
                        epoch, state.incarnation(), spec, TaskBehavior.parse(Fleets.bytes(input)));
            }
        };
    }

    private static HistoryEvent event(WorkerStep.Note note, long nanos) {
        return new HistoryEvent(note.type(), nanos, 0, Map.copyOf(note.fields()));
    }

    private static void assertRefused(WorkerStep step, String error) {
        assertTrue(
                step.outcome() instanceof WorkerOutcome.Refused r && r.error().equals(error),
                step.outcome().toString());
    }
}
