package org.jujubefork.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.Distance;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerListing;

/**
 * Ranks live entries as owners of a shard: by distance, then by the number of shards that they own,
 * then by rendezvous hash. Entries with the same membership view compute the same ranking.
 */
public final class OwnerCandidates {
    private OwnerCandidates() {}

    /**
     * An entry that could own a shard.
     *
     * @param name the entry's name
     * @param distance the distance between the entry and the shard's workers
     * @param ownedShardCount the number of shards that the entry owns
     * @param hash the rendezvous hash of entry and shard, compared as unsigned
     */
    private record Candidate(String name, Distance distance, int ownedShardCount, long hash) {}

    private static final Comparator<Candidate> BEST_FIRST =
            Comparator.comparing(Candidate::distance)
                    .thenComparingInt(Candidate::ownedShardCount)
                    .thenComparing(Candidate::hash, Long::compareUnsigned)
                    .thenComparing(Candidate::name);

    /**
     * Returns how many other live entries rank before this entry as owners of {@code shard}; zero
     * if this entry is the best candidate.
     */
    public static int rank(State state, ShardId shard) {
        Candidate self =
                candidate(
                        state,
                        state.self().id().name(),
                        state.self().location(),
                        state.shards().size(),
                        shard);
        return (int)
                others(state, shard).stream().filter(c -> BEST_FIRST.compare(c, self) < 0).count();
    }

    /**
     * Returns the name of the entry with the fewest shards among those that are as close to {@code
     * shard} as this entry and own at least two shards fewer; empty if there is none.
     */
    static Optional<String> lessLoadedEntry(State state, ShardId shard) {
        Distance ownDistance = distance(state, state.self().location(), shard);
        return others(state, shard).stream()
                .filter(
                        c ->
                                c.distance() == ownDistance
                                        && c.ownedShardCount() + 2 <= state.shards().size())
                .min(BEST_FIRST)
                .map(Candidate::name);
    }

    /**
     * Returns the name of the best live candidate for {@code shard} other than this entry; empty if
     * there is none.
     */
    public static Optional<String> bestOtherEntry(State state, ShardId shard) {
        return others(state, shard).stream().min(BEST_FIRST).map(Candidate::name);
    }

    private static List<Candidate> others(State state, ShardId shard) {
        List<Candidate> candidates = new ArrayList<>();
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member) && !member.row().leaving()) {
                candidates.add(
                        candidate(
                                state,
                                member.row().id().name(),
                                member.row().location(),
                                member.row().shards().size(),
                                shard));
            }
        }
        return candidates;
    }

    private static Candidate candidate(
            State state, String name, Location location, int ownedCount, ShardId shard) {
        Distance distance = distance(state, location, shard);
        return new Candidate(
                name, distance, ownedCount, Sharding.hash(name, Sharding.hash(shard.value(), 0)));
    }

    private static Distance distance(State state, Location location, ShardId shard) {
        var workers = state.fleet().byShard().get(shard);
        if (workers == null || workers.isEmpty()) {
            return Distance.OTHER_REGION;
        }
        WorkerListing firstWorker = workers.firstEntry().getValue();
        return location.distanceTo(firstWorker.location());
    }
}
