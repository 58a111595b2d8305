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
 * Places work that waits behind a head which does not fit, for a bounded time.
 *
 * <p>Without it one large task holds back all smaller work of its team in the same lane. Without
 * the bound a steady flow of smaller work would take all the room that becomes free, and the large
 * task would never start. Gangs are left out, because they have reservations.
 */
final class Backfill {
    /**
     * How long work may be started ahead of a head, from the first attempt to place the head. It
     * equals the default wait after which a gang reserves workers.
     */
    static final long BACKFILL_MILLIS = 10_000;

    /**
     * Work of a lane that is examined each time. It bounds the time of a tick; the next tick goes
     * on where this one ended.
     */
    static final int MAX_EXAMINED = 32;

    private Backfill() {}

    /**
     * Work that may fit ahead of the head of its lane.
     *
     * @param rank the rank of the lane by the policy of its kind
     * @param position where the work waits
     * @param remainingToExamine how much of the lane may still be examined
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
     * The next work of a lane that may fit.
     *
     * @param found its number of arrival, if there is any
     * @param cursor the number of the work that was examined last; that of the head at the end
     * @param remainingToExamine how much of the lane may still be examined
     */
    private record Scan(OptionalLong found, long cursor, int remainingToExamine) {}

    /** Returns {@code shard} with a note that the head of {@code key} did not fit. */
    static ShardState recordBlockedHead(ShardState shard, LaneKey key, long nowMillis) {
        PSortedMap<LaneKey, BlockedHead> blocked = shard.schedulerState().blockedHeads();
        long sequence = shard.queue().lane(key).firstKey();
        BlockedHead known = blocked.get(key);
        if (key.lane() == Lane.GANG || (known != null && known.sequence() == sequence)) {
            return shard;
        }
        BlockedHead head = new BlockedHead(sequence, nowMillis + BACKFILL_MILLIS, sequence);
        return shard.withSchedulerState(
                shard.schedulerState().withBlockedHeads(blocked.plus(key, head)));
    }

    /** Returns the notes of {@code shard} whose work is still the head of its lane. */
    static PSortedMap<LaneKey, BlockedHead> currentBlockedHeads(ShardState shard) {
        PSortedMap<LaneKey, BlockedHead> current = shard.schedulerState().blockedHeads();
        for (var entry : shard.schedulerState().blockedHeads().entrySet()) {
            if (!isHead(shard, entry.getKey(), entry.getValue())) {
                current = current.minus(entry.getKey());
            }
        }
        return current;
    }

    /**
     * Returns {@code scheduling} after running work was stopped to make room for the head of {@code
     * key}; nothing else of the lane may take that room.
     */
    static SchedulerState stopBackfill(SchedulerState scheduling, LaneKey key) {
        BlockedHead head = scheduling.blockedHeads().get(key);
        return head == null
                ? scheduling
                : scheduling.withBlockedHeads(
                        scheduling.blockedHeads().plus(key, head.withoutBackfill()));
    }

    /** Places at most {@code maxPlacements} pieces of work after all heads were tried. */
    static Transition run(
            Transition afterHeads, ShardId shard, LaneRanker ranker, int maxPlacements) {
        Transition result = afterHeads;
        int remainingPlacements = maxPlacements;
        for (var lane : lanesToBackfill(afterHeads.state(), shard).values()) {
            PriorityQueue<Candidate> ranked = new PriorityQueue<>();
            for (LaneKey key : lane) {
                result =
                        result.withState(
                                rankNext(result.state(), shard, ranker, key, MAX_EXAMINED, ranked));
            }
            while (!ranked.isEmpty() && remainingPlacements > 0) {
                Candidate candidate = ranked.poll();
                WorkQueue.Position position = candidate.position();
                Optional<Transition> placed = place(result.state(), shard, position);
                if (placed.isPresent()) {
                    result = result.then(s -> placed.get());
                    remainingPlacements--;
                }
                State advanced =
                        withCursor(result.state(), shard, position.lane(), position.sequence());
                result =
                        result.withState(
                                rankNext(
                                        advanced,
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
     * Adds the next work of {@code key} that may fit to {@code ranked}, or returns {@code state}
     * with a note of where to go on. A lane is ranked only if there is such work.
     */
    private static State rankNext(
            State state,
            ShardId shard,
            LaneRanker ranker,
            LaneKey key,
            int remaining,
            PriorityQueue<Candidate> ranked) {
        ShardState owned = state.shards().get(shard);
        if (!isHead(owned, key, owned.schedulerState().blockedHeads().get(key))) {
            return state;
        }
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Scan scan = scan(state, owned, key, head, remaining);
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

    /** Returns the lanes of which work may be started ahead of the head. */
    private static Map<Lane, Collection<LaneKey>> lanesToBackfill(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        Map<Lane, Collection<LaneKey>> byLane = new EnumMap<>(Lane.class);
        for (var entry : owned.schedulerState().blockedHeads().entrySet()) {
            LaneKey key = entry.getKey();
            boolean eligible =
                    state.nowMillis() < entry.getValue().backfillUntilMillis()
                            && isHead(owned, key, entry.getValue())
                            && owned.queue().lane(key).size() > 1;
            if (eligible) {
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
            State state, ShardState shard, LaneKey key, QueuedWork head, int remaining) {
        BlockedHead blocked = shard.schedulerState().blockedHeads().get(key);
        int toExamine = remaining;
        long cursor = blocked.cursor();
        for (var next : shard.queue().lane(key).tailMap(cursor, false).entrySet()) {
            if (toExamine == 0) {
                return new Scan(OptionalLong.empty(), cursor, 0);
            }
            toExamine--;
            cursor = next.getKey();
            if (mayFit(state, shard, head, next.getValue())) {
                return new Scan(OptionalLong.of(cursor), cursor, toExamine);
            }
        }
        return new Scan(OptionalLong.empty(), blocked.sequence(), 0);
    }

    /** Rules out work that needs the same as the head, such as other tasks of its job. */
    private static boolean mayFit(State state, ShardState shard, QueuedWork head, QueuedWork work) {
        boolean sameDemandAsHead =
                work.size().equals(head.size()) && work.queue().equals(head.queue());
        return !sameDemandAsHead
                && shard.workerIndex().byFree().mayFit(Scheduler.demand(state, shard, work));
    }

    private static State withCursor(State state, ShardId shard, LaneKey key, long cursor) {
        ShardState owned = state.shards().get(shard);
        SchedulerState scheduling = owned.schedulerState();
        BlockedHead blocked = scheduling.blockedHeads().get(key);
        return blocked.cursor() == cursor
                ? state
                : state.withShard(
                        owned.withSchedulerState(
                                scheduling.withBlockedHeads(
                                        scheduling
                                                .blockedHeads()
                                                .plus(key, blocked.withCursor(cursor)))));
    }
}
