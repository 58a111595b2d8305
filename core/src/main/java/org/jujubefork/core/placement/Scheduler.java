package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * Places queued work of a shard on its workers, in fair order, as far as they have free capacity.
 */
public final class Scheduler {
    /**
     * Maximum number of placements in one run, to bound the duration of one event. The remaining
     * work waits for the next event or tick.
     */
    static final int MAX_PLACEMENTS = 64;

    private Scheduler() {}

    /**
     * A lane with queued work.
     *
     * @param rank its rank by the queue order of its kind of work; the lowest is placed first
     * @param lane the lane
     */
    private record RankedLane(double rank, LaneKey lane) implements Comparable<RankedLane> {
        @Override
        public int compareTo(RankedLane other) {
            int byRank = Double.compare(rank, other.rank);
            return byRank != 0 ? byRank : lane.compareTo(other.lane);
        }
    }

    /** Removes expired scheduler state of {@code shard} and reviews its gang reservation. */
    public static Transition tick(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        SchedulerState pruned = owned.schedulerState().withoutExpiredEntries(state.nowMillis());
        State updated =
                state.withShard(
                        owned.withSchedulerState(
                                pruned.withDrainRate(
                                                pruned.drainRate().advancedTo(state.nowMillis()))
                                        .withBlockedHeads(Backfill.currentBlockedHeads(owned))));
        return Transition.of(Gangs.reviewReservation(updated, shard));
    }

    /**
     * Places queued work of {@code shard} until nothing more fits or until {@link #MAX_PLACEMENTS}
     * placements are made.
     *
     * @param state the state
     * @param shard the shard, which must be owned
     * @param retryBlocked whether to retry heads that did not fit before, including gangs, and to
     *     backfill behind them; true on ticks
     */
    public static Transition run(State state, ShardId shard, boolean retryBlocked) {
        if (state.configuration().isEmpty()) {
            return Transition.of(state);
        }
        ShardState owned = state.shards().get(shard);
        boolean includeTried = retryBlocked || owned.schedulerState().recheckAll();
        Transition result =
                Transition.of(
                        state.withShard(
                                owned.withSchedulerState(
                                        owned.schedulerState().withRecheckAll(false))));
        LaneRanker ranker = LaneRanker.of(state);
        int remainingPlacements = MAX_PLACEMENTS;
        for (var laneKeys : lanesToTry(owned, includeTried, retryBlocked).values()) {
            PriorityQueue<RankedLane> ranked = rankLanes(result.state(), shard, ranker, laneKeys);
            while (!ranked.isEmpty()) {
                if (remainingPlacements == 0) {
                    return result.withState(requestRecheck(result.state(), shard));
                }
                LaneKey key = ranked.poll().lane();
                Optional<Transition> placed = placeHead(result.state(), shard, key);
                if (placed.isEmpty()) {
                    result = result.withState(recordHeadTried(result.state(), shard, key));
                    continue;
                }
                result = result.then(s -> placed.get());
                remainingPlacements--;
                if (result.state().shards().get(shard).queue().lanes().containsKey(key)) {
                    ranked.add(rank(result.state(), shard, ranker, key));
                }
            }
        }
        return retryBlocked ? Backfill.run(result, shard, ranker, remainingPlacements) : result;
    }

    /**
     * Returns the lanes to try, by priority. A gang that did not fit is retried only on ticks,
     * because one attempt costs as much as placing all its tasks.
     */
    private static Map<Lane, Collection<LaneKey>> lanesToTry(
            ShardState shard, boolean includeTried, boolean retryGangs) {
        Map<Lane, Collection<LaneKey>> byLane = new EnumMap<>(Lane.class);
        Collection<LaneKey> keys =
                includeTried ? shard.queue().lanes().keySet() : shard.queue().untriedLanes();
        for (LaneKey key : keys) {
            boolean isSkipped =
                    key.lane() == Lane.GANG
                            && !retryGangs
                            && !shard.queue().untriedLanes().contains(key);
            if (!isSkipped) {
                byLane.computeIfAbsent(key.lane(), l -> new ArrayList<>()).add(key);
            }
        }
        return byLane;
    }

    private static PriorityQueue<RankedLane> rankLanes(
            State state, ShardId shard, LaneRanker ranker, Collection<LaneKey> lanes) {
        PriorityQueue<RankedLane> ranked = new PriorityQueue<>();
        ShardState owned = state.shards().get(shard);
        for (LaneKey key : lanes) {
            if (mayFit(state, owned, key)) {
                ranked.add(
                        lanes.size() == 1
                                ? new RankedLane(0, key)
                                : rank(state, shard, ranker, key));
            } else if (owned.queue().untriedLanes().contains(key)) {
                // Ranked last; the failed attempt then marks the head as tried.
                ranked.add(new RankedLane(Double.MAX_VALUE, key));
            }
        }
        return ranked;
    }

    /** Returns whether the head of {@code key} may fit; heads that cannot fit are not ranked. */
    private static boolean mayFit(State state, ShardState shard, LaneKey key) {
        QueuedWork head = shard.queue().head(key).orElseThrow().getValue();
        return key.lane() == Lane.GANG
                || shard.workerIndex().byFree().mayFit(demand(state, shard, head));
    }

    private static RankedLane rank(State state, ShardId shard, LaneRanker ranker, LaneKey key) {
        QueuedWork head = state.shards().get(shard).queue().head(key).orElseThrow().getValue();
        return new RankedLane(ranker.rank(state, key.team(), head), key);
    }

    /**
     * Returns the configured placement policy for work of {@code kind}, or the default for that
     * kind.
     */
    static PlacementPolicy placementPolicy(Configuration configuration, WorkKind kind) {
        KindPolicy policy = configuration.policies().get(kind);
        return Optional.ofNullable(policy)
                .flatMap(p -> PlacementPolicies.named(p.placement()))
                .orElseGet(() -> PlacementPolicies.defaultFor(kind));
    }

    /** Returns what {@code work} requires of one worker of {@code shard}. */
    public static Demand demand(State state, ShardState shard, QueuedWork work) {
        ReplicaCounts replicas =
                work instanceof QueuedWork.Task task && work.kind() == WorkKind.SERVICE
                        ? shard.taskIndex()
                                .replicasByJob()
                                .getOrDefault(task.job(), ReplicaCounts.NONE)
                        : ReplicaCounts.NONE;
        return Demand.of(
                work,
                state.configuration().orElseThrow().tuning(),
                shard.schedulerState().learnedSize(work.queue(), work.size()),
                replicas);
    }

    private static Optional<Transition> placeHead(State state, ShardId shard, LaneKey key) {
        Map.Entry<Long, QueuedWork> head =
                state.shards().get(shard).queue().head(key).orElseThrow();
        WorkQueue.Position position = new WorkQueue.Position(key, head.getKey());
        return head.getValue() instanceof QueuedWork.Gang gang
                ? Gangs.place(state, shard, position, gang)
                : place(state, shard, position, head.getValue());
    }

    /**
     * Starts {@code work}, which is queued at {@code position}, if its team is within its limit and
     * a worker has enough free capacity.
     */
    static Optional<Transition> place(
            State state, ShardId shard, WorkQueue.Position position, QueuedWork work) {
        ShardState owned = state.shards().get(shard);
        if (!Limits.allows(state, owned, work.team(), work.size())) {
            return Optional.empty();
        }
        return placementPolicy(state.configuration().orElseThrow(), work.kind())
                .choose(owned.workerIndex(), demand(state, owned, work))
                .map(w -> TaskLauncher.launch(dequeue(state, shard, position), shard, work, w));
    }

    /** Returns {@code state} with the item at {@code position} removed from the queue. */
    static State dequeue(State state, ShardId shard, WorkQueue.Position position) {
        ShardState owned = state.shards().get(shard);
        return state.withShard(owned.withQueue(owned.queue().minus(position)));
    }

    private static State recordHeadTried(State state, ShardId shard, LaneKey key) {
        ShardState owned = state.shards().get(shard);
        return owned.queue().untriedLanes().contains(key)
                ? state.withShard(
                        Backfill.recordBlockedHead(owned, key, state.nowMillis())
                                .withQueue(owned.queue().withHeadTried(key)))
                : state;
    }

    private static State requestRecheck(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        return state.withShard(
                owned.withSchedulerState(owned.schedulerState().withRecheckAll(true)));
    }

    /** Returns the dominant share of {@code team} in the fleet divided by its weight. */
    public static double weightedShare(State state, TeamId team) {
        return FleetUsage.weightedShare(state, team);
    }
}
