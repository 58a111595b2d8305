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

/** How many tasks of a size each shard can run. */
final class ShardCapacities {
    private ShardCapacities() {}

    /**
     * The room of a shard for tasks of one size.
     *
     * @param shard the shard
     * @param owned whether a live owner is known
     * @param tasksFittingEmpty how many tasks its workers hold when they are empty, counted per
     *     worker
     * @param tasksFittingNow how many tasks fit beside what runs, estimated from the free total
     * @param queued how many requests and tasks wait
     */
    record Capacity(
            ShardId shard,
            boolean owned,
            long tasksFittingEmpty,
            long tasksFittingNow,
            int queued) {}

    /** Returns how many amounts of {@code size} fit into {@code available}. */
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

    /** Returns the rooms of all shards on the VM list for tasks of {@code size}. */
    static List<Capacity> of(State state, Resources size) {
        Resources reserve =
                state.configuration().map(c -> c.tuning()).orElse(Tuning.DEFAULT).requestReserve();
        PSortedMap<ShardId, ShardSummary> summaries = newestSummaries(state);
        List<Capacity> capacities = new ArrayList<>();
        for (var shard : state.fleet().byShard().entrySet()) {
            long fittingEmpty = 0;
            for (WorkerListing worker : shard.getValue().values()) {
                fittingEmpty += fittingCount(worker.capacity().minus(reserve), size);
            }
            ShardSummary summary = summaries.get(shard.getKey());
            capacities.add(
                    new Capacity(
                            shard.getKey(),
                            summary != null,
                            fittingEmpty,
                            summary == null ? 0 : tasksFittingNow(summary, size, reserve),
                            summary == null ? 0 : queuedCount(summary)));
        }
        return capacities;
    }

    /** Returns the other shard with the most room for {@code size} in which nothing waits. */
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
            for (var entry : member.row().shards().entrySet()) {
                ShardSummary known = result.get(entry.getKey());
                if (known == null || entry.getValue().epoch().isAbove(known.epoch())) {
                    result = result.plus(entry.getKey(), entry.getValue());
                }
            }
        }
        for (ShardState shard : state.shards().values()) {
            result = result.plus(shard.id(), ShardSummaries.of(state, shard, Optional.empty()));
        }
        return result;
    }
}
