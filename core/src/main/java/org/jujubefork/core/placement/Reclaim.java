package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;

/**
 * Makes room for work of teams below their share, and for urgent requests, by checkpointing batch
 * tasks of teams above theirs.
 */
public final class Reclaim {
    /**
     * How long an urgent request waits before running work is preempted for it. Urgent work has to
     * start within 5.4 s, and a checkpoint takes up to a few seconds.
     */
    static final long URGENT_WAIT_MILLIS = 1_000;

    /** How long a lane waits for preempted tasks to end before more are preempted for it. */
    static final long PASS_MILLIS = 15_000;

    /** How long a lane waits after an attempt that found nothing to preempt. */
    static final long IN_VAIN_MILLIS = 1_000;

    /** As {@link #PASS_MILLIS}, for urgent requests. */
    static final long URGENT_PASS_MILLIS = 2_000;

    private Reclaim() {}

    /** Makes at most one attempt for urgent requests and one for other work of {@code shard}. */
    public static Transition tick(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        if (state.configuration().isEmpty() || owned.queue().size() == 0) {
            return Transition.of(state);
        }
        Optional<LaneKey> urgent =
                oldestDue(state, owned, List.of(Lane.URGENT), URGENT_WAIT_MILLIS);
        Transition result =
                urgent.map(key -> forUrgent(state, shard, key)).orElse(Transition.of(state));
        return result.then(s -> forReservation(s, shard)).then(s -> forShare(s, shard));
    }

    /**
     * Checkpoints the last batch tasks on reserved workers after the time for reclaiming. Without
     * that a few long tasks keep all the other reserved room idle.
     */
    private static Transition forReservation(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        Optional<Reservation> reservation = owned.scheduling().reservation();
        long after = state.configuration().orElseThrow().tuning().reclaimAfterMillis();
        if (reservation.isEmpty()
                || reservation.get().sinceMillis() + after > state.nowMillis()
                || owned.scheduling()
                        .isReclaiming(reservation.get().position().lane(), state.nowMillis())) {
            return Transition.of(state);
        }
        List<RunningTask> victims = Victims.lastOnReserved(state, owned, reservation.get());
        return victims.isEmpty()
                ? Transition.of(state)
                : stop(
                        state,
                        shard,
                        reservation.get().position().lane(),
                        victims,
                        StopMode.CHECKPOINT,
                        PASS_MILLIS);
    }

    private static Transition forUrgent(State state, ShardId shard, LaneKey key) {
        ShardState owned = state.shards().get(shard);
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Demand demand = Scheduler.demand(state, owned, head);
        if (owned.index().bySlots().first(demand).isPresent()) {
            return Transition.of(state);
        }
        List<RunningTask> excess = Victims.overUsers(owned, demand);
        if (!excess.isEmpty()) {
            return stop(state, shard, key, excess, StopMode.THROTTLE, URGENT_PASS_MILLIS);
        }
        return stop(
                state,
                shard,
                key,
                Victims.forUrgent(state, owned, demand),
                StopMode.CHECKPOINT,
                URGENT_PASS_MILLIS);
    }

    private static Transition forShare(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        long after = state.configuration().orElseThrow().tuning().reclaimAfterMillis();
        Optional<LaneKey> due =
                oldestDue(
                        state,
                        owned,
                        List.of(Lane.REQUEST, Lane.SERVICE, Lane.GANG, Lane.BATCH),
                        after);
        if (due.isEmpty()) {
            return Transition.of(state);
        }
        LaneKey key = due.get();
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Demand demand = Scheduler.demand(state, owned, head);
        List<RunningTask> victims =
                head instanceof QueuedWork.Gang gang
                        ? Victims.forGang(state, owned, gang, demand)
                        : Victims.forShare(state, owned, head, demand);
        return stop(state, shard, key, victims, StopMode.CHECKPOINT, PASS_MILLIS);
    }

    /** Returns the lane of the team farthest below its share whose head has waited long enough. */
    private static Optional<LaneKey> oldestDue(
            State state, ShardState shard, List<Lane> lanes, long afterMillis) {
        double fair = FleetUsage.fairShare(state);
        List<LaneKey> due = new ArrayList<>();
        for (var entry : shard.queue().lanes().entrySet()) {
            LaneKey key = entry.getKey();
            QueuedWork head = entry.getValue().firstEntry().getValue();
            boolean waited = head.sinceMillis() + afterMillis <= state.nowMillis();
            if (lanes.contains(key.lane())
                    && waited
                    && !shard.scheduling().isReclaiming(key, state.nowMillis())
                    && (key.lane() == Lane.URGENT
                            || FleetUsage.weightedShare(state, key.team()) < fair)
                    && Limits.allows(state, shard, key.team(), head.size())) {
                due.add(key);
            }
        }
        return due.stream()
                .min(
                        Comparator.comparingDouble(
                                        (LaneKey k) -> FleetUsage.weightedShare(state, k.team()))
                                .thenComparing(k -> k));
    }

    private static Transition stop(
            State state,
            ShardId shard,
            LaneKey lane,
            List<RunningTask> victims,
            StopMode mode,
            long pauseMillis) {
        ShardState owned = state.shards().get(shard);
        long pause = victims.isEmpty() ? IN_VAIN_MILLIS : pauseMillis;
        Scheduling noted =
                victims.isEmpty() ? owned.scheduling() : LookAhead.ended(owned.scheduling(), lane);
        Scheduling paused = noted.reclaimingUntil(lane, state.nowMillis() + pause);
        Transition result = Transition.of(state.withShard(owned.withScheduling(paused)));
        for (RunningTask victim : victims) {
            result = result.then(s -> stopOne(s, shard, lane.team(), victim, mode));
        }
        return result;
    }

    private static Transition stopOne(
            State state, ShardId shard, TeamId claimant, RunningTask victim, StopMode mode) {
        ShardState owned = state.shards().get(shard);
        ShardState marked = owned;
        if (mode == StopMode.CHECKPOINT) {
            marked =
                    owned.update(victim.in(TaskPhase.STOPPING))
                            .withScheduling(
                                    owned.scheduling()
                                            .withPreempted(
                                                    victim.spec().job().orElseThrow(),
                                                    state.nowMillis()));
        }
        return Transition.of(state.withShard(marked))
                .with(
                        new WorkerEffect.StopTask(
                                victim.worker(),
                                owned.workers().get(victim.worker()).listing().address(),
                                owned.epoch(),
                                victim.spec().id(),
                                mode))
                .with(
                        new LogDecision(
                                DecisionKind.PREEMPTED,
                                victim.spec().id().value(),
                                Optional.of(victim.spec().team()),
                                victim.worker().value(),
                                mode + " for " + claimant,
                                0,
                                state.nowMillis() - victim.placedAtMillis()));
    }
}
