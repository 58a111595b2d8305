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

/** Places the work that waits in a shard, in fair order, as far as workers have room. */
public final class Scheduler {
    /**
     * Placements in one run. It bounds the time of one event; what is left waits for the next event
     * or tick.
     */
    static final int MAX_PLACEMENTS = 64;

    private Scheduler() {}

    /**
     * A lane with waiting work.
     *
     * @param rank its rank by the policy of its kind
     * @param key the lane
     */
    private record Ranked(double rank, LaneKey key) implements Comparable<Ranked> {
        @Override
        public int compareTo(Ranked other) {
            int byRank = Double.compare(rank, other.rank);
            return byRank != 0 ? byRank : key.compareTo(other.key);
        }
    }

    /** Forgets outdated notes and reviews the reservation of {@code shard}. */
    public static Transition tick(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        Scheduling pruned = owned.scheduling().pruned(state.nowMillis());
        State noted =
                state.withShard(
                        owned.withScheduling(
                                pruned.withDrain(pruned.drain().at(state.nowMillis()))
                                        .withBlocked(LookAhead.current(owned))));
        return Transition.of(Gangs.review(noted, shard));
    }

    /**
     * Places waiting work of {@code shard} until nothing more fits, or until {@link
     * #MAX_PLACEMENTS} are made.
     *
     * @param state the state
     * @param shard the shard, which must be owned
     * @param all whether time has passed, so that lanes whose head was tried before without success
     *     are tried again, and work behind such heads
     */
    public static Transition run(State state, ShardId shard, boolean all) {
        if (state.configuration().isEmpty()) {
            return Transition.of(state);
        }
        ShardState owned = state.shards().get(shard);
        boolean everything = all || owned.scheduling().recheck();
        Transition result =
                Transition.of(
                        state.withShard(
                                owned.withScheduling(owned.scheduling().withRecheck(false))));
        Shares shares = Shares.of(state);
        int left = MAX_PLACEMENTS;
        for (var lane : candidates(owned, everything, all).values()) {
            PriorityQueue<Ranked> ranked = ranked(result.state(), shard, shares, lane);
            while (!ranked.isEmpty()) {
                if (left == 0) {
                    return result.withState(unfinished(result.state(), shard));
                }
                LaneKey key = ranked.poll().key();
                Optional<Transition> placed = placeHead(result.state(), shard, key);
                if (placed.isEmpty()) {
                    result = result.withState(tried(result.state(), shard, key));
                    continue;
                }
                result = result.then(s -> placed.get());
                left--;
                if (result.state().shards().get(shard).queue().lanes().containsKey(key)) {
                    ranked.add(rank(result.state(), shard, shares, key));
                }
            }
        }
        return all ? LookAhead.run(result, shard, shares, left) : result;
    }

    /**
     * Returns the lanes to try. A gang that did not fit is tried again only when time passes,
     * because the attempt costs as much as all its tasks.
     */
    private static Map<Lane, Collection<LaneKey>> candidates(
            ShardState shard, boolean everything, boolean gangs) {
        Map<Lane, Collection<LaneKey>> byLane = new EnumMap<>(Lane.class);
        Collection<LaneKey> keys =
                everything ? shard.queue().lanes().keySet() : shard.queue().ready();
        for (LaneKey key : keys) {
            boolean skipped =
                    key.lane() == Lane.GANG && !gangs && !shard.queue().ready().contains(key);
            if (!skipped) {
                byLane.computeIfAbsent(key.lane(), l -> new ArrayList<>()).add(key);
            }
        }
        return byLane;
    }

    private static PriorityQueue<Ranked> ranked(
            State state, ShardId shard, Shares shares, Collection<LaneKey> lanes) {
        PriorityQueue<Ranked> ranked = new PriorityQueue<>();
        ShardState owned = state.shards().get(shard);
        for (LaneKey key : lanes) {
            if (mayFit(state, owned, key)) {
                ranked.add(
                        lanes.size() == 1 ? new Ranked(0, key) : rank(state, shard, shares, key));
            } else if (owned.queue().ready().contains(key)) {
                // Kept ready only until the end of the run; a failed attempt marks it as tried.
                ranked.add(new Ranked(Double.MAX_VALUE, key));
            }
        }
        return ranked;
    }

    /** Returns whether the head of {@code key} may fit; skips the ranking of those that cannot. */
    private static boolean mayFit(State state, ShardState shard, LaneKey key) {
        QueuedWork head = shard.queue().head(key).orElseThrow().getValue();
        return key.lane() == Lane.GANG || shard.index().byFree().mayFit(demand(state, shard, head));
    }

    private static Ranked rank(State state, ShardId shard, Shares shares, LaneKey key) {
        QueuedWork head = state.shards().get(shard).queue().head(key).orElseThrow().getValue();
        return new Ranked(shares.rank(state, key.team(), head), key);
    }

    /** Returns the placement policy for work of {@code kind}. */
    static PlacementPolicy placement(Configuration configuration, WorkKind kind) {
        KindPolicy policy = configuration.policies().get(kind);
        return Optional.ofNullable(policy)
                .flatMap(p -> PlacementPolicies.named(p.placement()))
                .orElseGet(() -> PlacementPolicies.defaultFor(kind));
    }

    /** Returns what {@code work} needs of one worker of {@code shard}. */
    public static Demand demand(State state, ShardState shard, QueuedWork work) {
        Siblings siblings =
                work instanceof QueuedWork.Task task && work.kind() == WorkKind.SERVICE
                        ? shard.book().services().getOrDefault(task.job(), Siblings.NONE)
                        : Siblings.NONE;
        return Demand.of(
                work,
                state.configuration().orElseThrow().tuning(),
                shard.scheduling().learnedSize(work.queue(), work.size()),
                siblings);
    }

    private static Optional<Transition> placeHead(State state, ShardId shard, LaneKey key) {
        Map.Entry<Long, QueuedWork> head =
                state.shards().get(shard).queue().head(key).orElseThrow();
        WorkQueue.Position position = new WorkQueue.Position(key, head.getKey());
        return head.getValue() instanceof QueuedWork.Gang gang
                ? Gangs.place(state, shard, position, gang)
                : place(state, shard, position, head.getValue());
    }

    /** Starts {@code work}, which waits at {@code position}, if a worker has room for it. */
    static Optional<Transition> place(
            State state, ShardId shard, WorkQueue.Position position, QueuedWork work) {
        ShardState owned = state.shards().get(shard);
        if (!Limits.allows(state, owned, work.team(), work.size())) {
            return Optional.empty();
        }
        return placement(state.configuration().orElseThrow(), work.kind())
                .choose(owned.index(), demand(state, owned, work))
                .map(w -> Starts.one(without(state, shard, position), shard, work, w));
    }

    /** Returns {@code state} without the waiting item at {@code position}. */
    static State without(State state, ShardId shard, WorkQueue.Position position) {
        ShardState owned = state.shards().get(shard);
        return state.withShard(owned.withQueue(owned.queue().minus(position)));
    }

    private static State tried(State state, ShardId shard, LaneKey key) {
        ShardState owned = state.shards().get(shard);
        return owned.queue().ready().contains(key)
                ? state.withShard(
                        LookAhead.noted(owned, key, state.nowMillis())
                                .withQueue(owned.queue().tried(key)))
                : state;
    }

    private static State unfinished(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        return state.withShard(owned.withScheduling(owned.scheduling().withRecheck(true)));
    }

    /** Returns how much {@code team} uses of the fleet, divided by its weight. */
    public static double weightedShare(State state, TeamId team) {
        return FleetUsage.weightedShare(state, team);
    }
}
