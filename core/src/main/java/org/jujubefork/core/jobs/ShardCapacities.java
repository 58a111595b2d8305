package org.jujubefork.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.ShardSummaries;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/** Estimates how many tasks of a given size each shard can run. */
final class ShardCapacities {
    private ShardCapacities() {}

    /**
     * The capacity of a shard for tasks of one size.
     *
     * @param shard the shard that has this capacity
     * @param owned whether a live owner of the shard is known
     * @param tasksFittingEmpty the number of tasks that fit if nothing else runs; summed over the
     *     workers
     * @param tasksFittingNow the number of tasks that fit into the free capacity; an estimate from
     *     the total of the shard. 0 if there is no known owner
     * @param queued the number of queued requests and tasks
     */
    record Capacity(
            ShardId shard,
            boolean owned,
            long tasksFittingEmpty,
            long tasksFittingNow,
            int queued) {}

    /**
     * Returns how many times {@code size} fits into {@code available}; {@link Long#MAX_VALUE} if
     * {@code size} is zero.
     */
    static long fittingCount(Resources available, Resources size) {
        long count = Long.MAX_VALUE;
        count =
                size.cpuMillis() > 0
                        ? Math.min(count, available.cpuMillis() / size.cpuMillis())
                        : count;
        count =
                size.memoryMb() > 0
                        ? Math.min(count, available.memoryMb() / size.memoryMb())
                        : count;
        count =
                size.accelerators() > 0
                        ? Math.min(count, available.accelerators() / size.accelerators())
                        : count;
        return Math.max(0, count);
    }

    /** Returns the capacity for tasks of {@code size} of each shard that the VM list contains. */
    static List<Capacity> of(State state, Resources size) {
        Resources reserve =
                state.configuration().map(c -> c.tuning()).orElse(Tuning.DEFAULT).requestReserve();
        PSortedMap<ShardId, ShardSummary> summaries = newestSummaries(state);
        List<Capacity> capacities = new ArrayList<>();
        for (var shardAndWorkers : state.fleet().byShard().entrySet()) {
            long fittingEmpty = 0;
            for (WorkerListing worker : shardAndWorkers.getValue().values()) {
                fittingEmpty += fittingCount(worker.capacity().minus(reserve), size);
            }
            ShardSummary summary = summaries.get(shardAndWorkers.getKey());
            capacities.add(
                    new Capacity(
                            shardAndWorkers.getKey(),
                            summary != null,
                            fittingEmpty,
                            summary == null ? 0 : tasksFittingNow(summary, size, reserve),
                            summary == null ? 0 : queuedCount(summary)));
        }
        return capacities;
    }

    /**
     * Returns the shard with the most free capacity for tasks of {@code size} among the owned
     * shards with an empty queue, excluding {@code except}; empty if there is none.
     */
    static Optional<Capacity> largestIdle(State state, ShardId except, Resources size) {
        return of(state, size).stream()
                .filter(c -> !c.shard().equals(except) && c.owned())
                .filter(c -> c.queued() == 0 && c.tasksFittingNow() > 0)
                .max(Comparator.comparingLong(Capacity::tasksFittingNow));
    }

    private static long tasksFittingNow(ShardSummary summary, Resources size, Resources reserve) {
        if (!size.plus(reserve).fitsIn(summary.largestFree())) {
            return 0;
        }
        Resources reserved = reserve.times(summary.workers());
        return Math.max(1, fittingCount(summary.free().minus(reserved), size));
    }

    private static int queuedCount(ShardSummary summary) {
        return summary.teams().values().stream().mapToInt(TeamLoad::queued).sum();
    }

    private static PSortedMap<ShardId, ShardSummary> newestSummaries(State state) {
        PSortedMap<ShardId, ShardSummary> result = TreePMap.empty();
        for (Member member : state.membership().members().values()) {
            if (!Membership.isAlive(state, member)) {
                continue;
            }
            for (var shardAndSummary : member.row().shards().entrySet()) {
                ShardSummary newest = result.get(shardAndSummary.getKey());
                if (newest == null || shardAndSummary.getValue().epoch().isAbove(newest.epoch())) {
                    result = result.plus(shardAndSummary.getKey(), shardAndSummary.getValue());
                }
            }
        }
        for (ShardState shard : state.shards().values()) {
            result = result.plus(shard.id(), ShardSummaries.of(state, shard, Optional.empty()));
        }
        return result;
    }
}
