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
final class LookAhead {
    /**
     * How long work may be started ahead of a head, from the first attempt to place the head. It
     * equals the default wait after which a gang reserves workers.
     */
    static final long LOOK_AHEAD_MILLIS = 10_000;

    /**
     * Work of a lane that is examined each time. It bounds the time of a tick; the next tick goes
     * on where this one ended.
     */
    static final int MAX_EXAMINED = 32;

    private LookAhead() {}

    /**
     * Work that may fit ahead of the head of its lane.
     *
     * @param rank the rank of the lane by the policy of its kind
     * @param position where the work waits
     * @param remaining how much of the lane may still be examined
     */
    private record Candidate(double rank, WorkQueue.Position position, int remaining)
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
     * @param remaining how much of the lane may still be examined
     */
    private record Scan(OptionalLong found, long cursor, int remaining) {}

    /** Returns {@code shard} with a note that the head of {@code key} did not fit. */
    static ShardState noted(ShardState shard, LaneKey key, long nowMillis) {
        PSortedMap<LaneKey, BlockedHead> blocked = shard.scheduling().blocked();
        long sequence = shard.queue().lane(key).firstKey();
        BlockedHead known = blocked.get(key);
        if (key.lane() == Lane.GANG || (known != null && known.sequence() == sequence)) {
            return shard;
        }
        BlockedHead head = new BlockedHead(sequence, nowMillis + LOOK_AHEAD_MILLIS, sequence);
        return shard.withScheduling(shard.scheduling().withBlocked(blocked.plus(key, head)));
    }

    /** Returns the notes of {@code shard} whose work is still the head of its lane. */
    static PSortedMap<LaneKey, BlockedHead> current(ShardState shard) {
        PSortedMap<LaneKey, BlockedHead> kept = shard.scheduling().blocked();
        for (var entry : shard.scheduling().blocked().entrySet()) {
            if (!isHead(shard, entry.getKey(), entry.getValue())) {
                kept = kept.minus(entry.getKey());
            }
        }
        return kept;
    }

    /**
     * Returns {@code scheduling} after running work was stopped to make room for the head of {@code
     * key}; nothing else of the lane may take that room.
     */
    static Scheduling ended(Scheduling scheduling, LaneKey key) {
        BlockedHead head = scheduling.blocked().get(key);
        return head == null
                ? scheduling
                : scheduling.withBlocked(scheduling.blocked().plus(key, head.ended()));
    }

    /** Places at most {@code placements} pieces of work after all heads were tried. */
    static Transition run(Transition tried, ShardId shard, Shares shares, int placements) {
        Transition result = tried;
        int left = placements;
        for (var lane : open(tried.state(), shard).values()) {
            PriorityQueue<Candidate> ranked = new PriorityQueue<>();
            for (LaneKey key : lane) {
                result =
                        result.withState(
                                next(result.state(), shard, shares, key, MAX_EXAMINED, ranked));
            }
            while (!ranked.isEmpty() && left > 0) {
                Candidate candidate = ranked.poll();
                WorkQueue.Position position = candidate.position();
                Optional<Transition> placed = place(result.state(), shard, position);
                if (placed.isPresent()) {
                    result = result.then(s -> placed.get());
                    left--;
                }
                State after = at(result.state(), shard, position.lane(), position.sequence());
                result =
                        result.withState(
                                next(
                                        after,
                                        shard,
                                        shares,
                                        position.lane(),
                                        candidate.remaining(),
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
    private static State next(
            State state,
            ShardId shard,
            Shares shares,
            LaneKey key,
            int remaining,
            PriorityQueue<Candidate> ranked) {
        ShardState owned = state.shards().get(shard);
        if (!isHead(owned, key, owned.scheduling().blocked().get(key))) {
            return state;
        }
        QueuedWork head = owned.queue().head(key).orElseThrow().getValue();
        Scan scan = scan(state, owned, key, head, remaining);
        if (scan.found().isEmpty()) {
            return at(state, shard, key, scan.cursor());
        }
        ranked.add(
                new Candidate(
                        shares.rank(state, key.team(), head),
                        new WorkQueue.Position(key, scan.found().getAsLong()),
                        scan.remaining()));
        return state;
    }

    /** Returns the lanes of which work may be started ahead of the head. */
    private static Map<Lane, Collection<LaneKey>> open(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        Map<Lane, Collection<LaneKey>> byLane = new EnumMap<>(Lane.class);
        for (var entry : owned.scheduling().blocked().entrySet()) {
            LaneKey key = entry.getKey();
            boolean open =
                    state.nowMillis() < entry.getValue().untilMillis()
                            && isHead(owned, key, entry.getValue())
                            && owned.queue().lane(key).size() > 1;
            if (open) {
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
        BlockedHead blocked = shard.scheduling().blocked().get(key);
        int left = remaining;
        long cursor = blocked.cursor();
        for (var next : shard.queue().lane(key).tailMap(cursor, false).entrySet()) {
            if (left == 0) {
                return new Scan(OptionalLong.empty(), cursor, 0);
            }
            left--;
            cursor = next.getKey();
            if (mayFit(state, shard, head, next.getValue())) {
                return new Scan(OptionalLong.of(cursor), cursor, left);
            }
        }
        return new Scan(OptionalLong.empty(), blocked.sequence(), 0);
    }

    /** Rules out work that needs the same as the head, such as other tasks of its job. */
    private static boolean mayFit(State state, ShardState shard, QueuedWork head, QueuedWork work) {
        boolean alike = work.size().equals(head.size()) && work.queue().equals(head.queue());
        return !alike && shard.index().byFree().mayFit(Scheduler.demand(state, shard, work));
    }

    private static State at(State state, ShardId shard, LaneKey key, long cursor) {
        ShardState owned = state.shards().get(shard);
        Scheduling scheduling = owned.scheduling();
        BlockedHead blocked = scheduling.blocked().get(key);
        return blocked.cursor() == cursor
                ? state
                : state.withShard(
                        owned.withScheduling(
                                scheduling.withBlocked(
                                        scheduling.blocked().plus(key, blocked.at(cursor)))));
    }
}
