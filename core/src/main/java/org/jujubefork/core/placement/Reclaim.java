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
 * Frees capacity for work of teams below their fair share, and for urgent requests, by
 * checkpointing batch tasks. For urgent requests, tasks that exceed their declared sizes are
 * throttled first.
 */
public final class Reclaim {
    /**
     * How long an urgent request waits before running work is preempted for it. Urgent work has to
     * start within 5.4 s, and a checkpoint takes up to a few seconds.
     */
    static final long URGENT_PREEMPTION_DELAY_MILLIS = 1_000;

    /** How long a lane waits for preempted tasks to end before more tasks are preempted for it. */
    static final long RECLAIM_PAUSE_MILLIS = 15_000;

    /** How long a lane waits after an attempt that found no task to preempt. */
    static final long NO_VICTIM_PAUSE_MILLIS = 1_000;

    /** The counterpart of {@link #RECLAIM_PAUSE_MILLIS} for lanes of urgent requests. */
    static final long URGENT_RECLAIM_PAUSE_MILLIS = 2_000;

    private Reclaim() {}

    /**
     * Frees capacity in {@code shard}, at most once for each of these claimants: urgent requests,
     * the reservation of a gang, and a team below its fair share.
     */
    public static Transition tick(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        if (state.configuration().isEmpty() || owned.queue().size() == 0) {
            return Transition.of(state);
        }
        Optional<LaneKey> urgent =
                dueLaneWithLowestShare(
                        state, owned, List.of(Lane.URGENT), URGENT_PREEMPTION_DELAY_MILLIS);
        Transition result =
                urgent.map(key -> reclaimForUrgent(state, shard, key)).orElse(Transition.of(state));
        return result.then(s -> reclaimForReservation(s, shard))
                .then(s -> reclaimForFairShare(s, shard));
    }

    /**
     * Checkpoints the last remaining batch tasks on reserved workers once the reservation is older
     * than the reclaim wait. Otherwise a few long tasks would keep the rest of the reserved
     * capacity idle.
     */
    private static Transition reclaimForReservation(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        Optional<Reservation> reservation = owned.schedulerState().reservation();
        long reclaimAfterMillis = state.configuration().orElseThrow().tuning().reclaimAfterMillis();
        if (reservation.isEmpty()
                || reservation.get().createdAtMillis() + reclaimAfterMillis > state.nowMillis()
                || owned.schedulerState()
                        .isReclaimPaused(reservation.get().position().lane(), state.nowMillis())) {
            return Transition.of(state);
        }
        List<RunningTask> victims =
                VictimSelector.lastOnReservedWorkers(state, owned, reservation.get());
        return victims.isEmpty()
                ? Transition.of(state)
                : stopVictims(
                        state,
                        shard,
                        reservation.get().position().lane(),
                        victims,
                        StopMode.CHECKPOINT,
                        RECLAIM_PAUSE_MILLIS);
    }

    private static Transition reclaimForUrgent(State state, ShardId shard, LaneKey key) {
        ShardState owned = state.shards().get(shard);
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Demand demand = Scheduler.demand(state, owned, head);
        if (owned.workerIndex().byFreeSlots().first(demand).isPresent()) {
            return Transition.of(state);
        }
        List<RunningTask> overusing = VictimSelector.overusingTasks(owned, demand);
        if (!overusing.isEmpty()) {
            return stopVictims(
                    state, shard, key, overusing, StopMode.THROTTLE, URGENT_RECLAIM_PAUSE_MILLIS);
        }
        return stopVictims(
                state,
                shard,
                key,
                VictimSelector.forUrgent(state, owned, demand),
                StopMode.CHECKPOINT,
                URGENT_RECLAIM_PAUSE_MILLIS);
    }

    private static Transition reclaimForFairShare(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        long reclaimAfterMillis = state.configuration().orElseThrow().tuning().reclaimAfterMillis();
        Optional<LaneKey> due =
                dueLaneWithLowestShare(
                        state,
                        owned,
                        List.of(Lane.REQUEST, Lane.SERVICE, Lane.GANG, Lane.BATCH),
                        reclaimAfterMillis);
        if (due.isEmpty()) {
            return Transition.of(state);
        }
        LaneKey key = due.get();
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Demand demand = Scheduler.demand(state, owned, head);
        List<RunningTask> victims =
                head instanceof QueuedWork.Gang gang
                        ? VictimSelector.forGang(state, owned, gang, demand)
                        : VictimSelector.forShare(state, owned, head, demand);
        return stopVictims(state, shard, key, victims, StopMode.CHECKPOINT, RECLAIM_PAUSE_MILLIS);
    }

    /**
     * Returns the lane whose team has the lowest weighted share, among lanes whose head has waited
     * at least {@code minWaitMillis}. Except for urgent requests, only teams below their fair share
     * qualify.
     */
    private static Optional<LaneKey> dueLaneWithLowestShare(
            State state, ShardState shard, List<Lane> lanes, long minWaitMillis) {
        double fairShare = FleetUsage.fairShare(state);
        List<LaneKey> due = new ArrayList<>();
        for (var keyAndLane : shard.queue().lanes().entrySet()) {
            LaneKey key = keyAndLane.getKey();
            QueuedWork head = keyAndLane.getValue().firstEntry().getValue();
            boolean waitedLongEnough =
                    head.waitingSinceMillis() + minWaitMillis <= state.nowMillis();
            if (lanes.contains(key.lane())
                    && waitedLongEnough
                    && !shard.schedulerState().isReclaimPaused(key, state.nowMillis())
                    && (key.lane() == Lane.URGENT
                            || FleetUsage.weightedShare(state, key.team()) < fairShare)
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

    private static Transition stopVictims(
            State state,
            ShardId shard,
            LaneKey lane,
            List<RunningTask> victims,
            StopMode mode,
            long pauseMillis) {
        ShardState owned = state.shards().get(shard);
        long pause = victims.isEmpty() ? NO_VICTIM_PAUSE_MILLIS : pauseMillis;
        SchedulerState updated =
                victims.isEmpty()
                        ? owned.schedulerState()
                        : Backfill.stopBackfill(owned.schedulerState(), lane);
        SchedulerState paused = updated.withReclaimPausedUntil(lane, state.nowMillis() + pause);
        Transition result = Transition.of(state.withShard(owned.withSchedulerState(paused)));
        for (RunningTask victim : victims) {
            result = result.then(s -> stopVictim(s, shard, lane.team(), victim, mode));
        }
        return result;
    }

    private static Transition stopVictim(
            State state, ShardId shard, TeamId claimant, RunningTask victim, StopMode mode) {
        ShardState owned = state.shards().get(shard);
        ShardState marked = owned;
        if (mode == StopMode.CHECKPOINT) {
            marked =
                    owned.update(victim.withPhase(TaskPhase.STOPPING))
                            .withSchedulerState(
                                    owned.schedulerState()
                                            .withPreempted(
                                                    victim.spec().jobTask().orElseThrow(),
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
