package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;

/**
 * Starts work that is queued behind the head of its lane while the head does not fit, for a limited
 * time.
 *
 * <p>Without backfill, one large task would hold back all smaller work of its team in the same
 * lane. Without the time limit, a steady flow of smaller work would take all capacity that becomes
 * free, and the large task would never start. Gangs are not handled here, because they have
 * reservations.
 */
final class Backfill {
    /**
     * How long work may be started ahead of a head, counted from the first failed attempt to place
     * the head. It equals the default wait after which a gang reserves workers.
     */
    static final long BACKFILL_MILLIS = 10_000;

    /**
     * Maximum number of queued items of a lane that are examined in one tick, to bound its
     * duration. The next tick continues after the last examined item.
     */
    static final int MAX_EXAMINED_ITEMS = 32;

    private Backfill() {}

    /**
     * Work that may fit although the head of its lane does not.
     *
     * @param rank the rank of the lane; the lowest is placed first
     * @param position the position of the work in the queue
     * @param remainingToExamine how many more items of the lane may be examined in this tick
     */
    private record Candidate(double rank, WorkQueue.Position position, int remainingToExamine)
            implements Comparable<Candidate> {
        @Override
        public int compareTo(Candidate other) {
            int byRank = Double.compare(rank, other.rank);
            return byRank != 0 ? byRank : position.lane().compareTo(other.position.lane());
        }
    }

    /**
     * The result of a search for the next item of a lane that may fit.
     *
     * @param found the sequence number of that item; empty if none was found
     * @param cursor the sequence number of the last examined item; the head's sequence number if
     *     the end of the lane was reached
     * @param remainingToExamine how many more items of the lane may be examined in this tick
     */
    private record Scan(OptionalLong found, long cursor, int remainingToExamine) {}

    /**
     * Records that the head of {@code key} did not fit, unless this is already recorded or {@code
     * key} is a lane of gangs.
     */
    static ShardState recordBlockedHead(ShardState shard, LaneKey key, long nowMillis) {
        PSortedMap<LaneKey, BlockedHead> blocked = shard.schedulerState().blockedHeads();
        long sequence = shard.queue().lane(key).firstKey();
        BlockedHead recorded = blocked.get(key);
        if (key.lane() == Lane.GANG || (recorded != null && recorded.sequence() == sequence)) {
            return shard;
        }
        BlockedHead head = new BlockedHead(sequence, nowMillis + BACKFILL_MILLIS, sequence);
        return shard.withSchedulerState(
                shard.schedulerState().withBlockedHeads(blocked.plus(key, head)));
    }

    /** Returns the recorded blocked heads that are still the heads of their lanes. */
    static PSortedMap<LaneKey, BlockedHead> currentBlockedHeads(ShardState shard) {
        PSortedMap<LaneKey, BlockedHead> current = shard.schedulerState().blockedHeads();
        for (var laneAndHead : shard.schedulerState().blockedHeads().entrySet()) {
            if (!isHead(shard, laneAndHead.getKey(), laneAndHead.getValue())) {
                current = current.minus(laneAndHead.getKey());
            }
        }
        return current;
    }

    /**
     * Ends backfilling in the lane {@code key}, because running work was stopped to free capacity
     * for its head and no other work of the lane may take that capacity.
     */
    static SchedulerState stopBackfill(SchedulerState schedulerState, LaneKey key) {
        BlockedHead head = schedulerState.blockedHeads().get(key);
        return head == null
                ? schedulerState
                : schedulerState.withBlockedHeads(
                        schedulerState.blockedHeads().plus(key, head.withoutBackfill()));
    }

    /**
     * Starts at most {@code maxPlacements} items behind blocked heads, after the heads themselves
     * were tried.
     */
    static Transition run(
            Transition afterHeads, ShardId shard, LaneRanker ranker, int maxPlacements) {
        Transition result = afterHeads;
        int remainingPlacements = maxPlacements;
        for (var laneKeys : lanesToBackfill(afterHeads.state(), shard).values()) {
            PriorityQueue<Candidate> ranked = new PriorityQueue<>();
            for (LaneKey key : laneKeys) {
                result =
                        result.withState(
                                rankNext(
                                        result.state(),
                                        shard,
                                        ranker,
                                        key,
                                        MAX_EXAMINED_ITEMS,
                                        ranked));
            }
            while (!ranked.isEmpty() && remainingPlacements > 0) {
                Candidate candidate = ranked.poll();
                WorkQueue.Position position = candidate.position();
                Optional<Transition> placed = place(result.state(), shard, position);
                if (placed.isPresent()) {
                    result = result.then(s -> placed.get());
                    remainingPlacements--;
                }
                State withAdvancedCursor =
                        withCursor(result.state(), shard, position.lane(), position.sequence());
                result =
                        result.withState(
                                rankNext(
                                        withAdvancedCursor,
                                        shard,
                                        ranker,
                                        position.lane(),
                                        candidate.remainingToExamine(),
                                        ranked));
            }
        }
        return result;
    }

    private static Optional<Transition> place(
            State state, ShardId shard, WorkQueue.Position position) {
        return state.shards()
                .get(shard)
                .queue()
                .at(position)
                .flatMap(work -> Scheduler.place(state, shard, position, work));
    }

    /**
     * Adds to {@code ranked} the next item of the lane {@code key} that may fit; if there is no
     * such item, returns {@code state} with the cursor of the lane advanced. The rank is computed
     * only for lanes with such an item.
     */
    private static State rankNext(
            State state,
            ShardId shard,
            LaneRanker ranker,
            LaneKey key,
            int remainingToExamine,
            PriorityQueue<Candidate> ranked) {
        ShardState owned = state.shards().get(shard);
        if (!isHead(owned, key, owned.schedulerState().blockedHeads().get(key))) {
            return state;
        }
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Scan scan = scan(state, owned, key, head, remainingToExamine);
        if (scan.found().isEmpty()) {
            return withCursor(state, shard, key, scan.cursor());
        }
        ranked.add(
                new Candidate(
                        ranker.rank(state, key.team(), head),
                        new WorkQueue.Position(key, scan.found().getAsLong()),
                        scan.remainingToExamine()));
        return state;
    }

    /** Returns the lanes, by priority, in which work may currently be started ahead of the head. */
    private static Map<Lane, Collection<LaneKey>> lanesToBackfill(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        Map<Lane, Collection<LaneKey>> byLane = new EnumMap<>(Lane.class);
        for (var laneAndHead : owned.schedulerState().blockedHeads().entrySet()) {
            LaneKey key = laneAndHead.getKey();
            boolean isEligible =
                    state.nowMillis() < laneAndHead.getValue().backfillUntilMillis()
                            && isHead(owned, key, laneAndHead.getValue())
                            && owned.queue().lane(key).size() > 1;
            if (isEligible) {
                byLane.computeIfAbsent(key.lane(), l -> new ArrayList<>()).add(key);
            }
        }
        return byLane;
    }

    private static boolean isHead(ShardState shard, LaneKey key, BlockedHead blocked) {
        PSortedMap<Long, QueuedWork> lane = shard.queue().lane(key);
        return !lane.isEmpty() && lane.firstKey() == blocked.sequence();
    }

    private static Scan scan(
            State state, ShardState shard, LaneKey key, QueuedWork head, int remainingToExamine) {
        BlockedHead blocked = shard.schedulerState().blockedHeads().get(key);
        int toExamine = remainingToExamine;
        long cursor = blocked.cursor();
        for (var sequenceAndWork : shard.queue().lane(key).tailMap(cursor, false).entrySet()) {
            if (toExamine == 0) {
                return new Scan(OptionalLong.empty(), cursor, 0);
            }
            toExamine--;
            cursor = sequenceAndWork.getKey();
            if (mayFit(state, shard, head, sequenceAndWork.getValue())) {
                return new Scan(OptionalLong.of(cursor), cursor, toExamine);
            }
        }
        return new Scan(OptionalLong.empty(), blocked.sequence(), 0);
    }

    /**
     * Returns whether {@code work} may fit; excludes work with the same demand as the blocked head,
     * such as other tasks of the head's job.
     */
    private static boolean mayFit(State state, ShardState shard, QueuedWork head, QueuedWork work) {
        boolean sameDemandAsHead =
                work.size().equals(head.size()) && work.queue().equals(head.queue());
        return !sameDemandAsHead
                && shard.workerIndex().byFree().mayFit(Scheduler.demand(state, shard, work));
    }

    private static State withCursor(State state, ShardId shard, LaneKey key, long cursor) {
        ShardState owned = state.shards().get(shard);
        SchedulerState schedulerState = owned.schedulerState();
        BlockedHead blocked = schedulerState.blockedHeads().get(key);
        return blocked.cursor() == cursor
                ? state
                : state.withShard(
                        owned.withSchedulerState(
                                schedulerState.withBlockedHeads(
                                        schedulerState
                                                .blockedHeads()
                                                .plus(key, blocked.withCursor(cursor)))));
    }
}
