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
final class Rooms {
    private Rooms() {}

    /**
     * The room of a shard for tasks of one size.
     *
     * @param shard the shard
     * @param owned whether a live owner is known
     * @param tasksInAll how many tasks its workers hold when they are empty, counted per worker
     * @param tasksNow how many tasks fit beside what runs, estimated from the free total
     * @param queued how many requests and tasks wait
     */
    record Room(ShardId shard, boolean owned, long tasksInAll, long tasksNow, int queued) {}

    /** Returns how many amounts of {@code size} fit into {@code space}. */
    static long count(Resources space, Resources size) {
        long count = Long.MAX_VALUE;
        count =
                size.cpuMillis() > 0
                        ? Math.min(count, space.cpuMillis() / size.cpuMillis())
                        : count;
        count = size.memoryMb() > 0 ? Math.min(count, space.memoryMb() / size.memoryMb()) : count;
        count =
                size.accelerators() > 0
                        ? Math.min(count, space.accelerators() / size.accelerators())
                        : count;
        return Math.max(0, count);
    }

    /** Returns the rooms of all shards on the VM list for tasks of {@code size}. */
    static List<Room> of(State state, Resources size) {
        Resources reserve =
                state.configuration().map(c -> c.tuning()).orElse(Tuning.DEFAULT).requestReserve();
        PSortedMap<ShardId, ShardSummary> summaries = summaries(state);
        List<Room> rooms = new ArrayList<>();
        for (var shard : state.fleet().byShard().entrySet()) {
            long inAll = 0;
            for (WorkerListing worker : shard.getValue().values()) {
                inAll += count(worker.capacity().minus(reserve), size);
            }
            ShardSummary summary = summaries.get(shard.getKey());
            rooms.add(
                    new Room(
                            shard.getKey(),
                            summary != null,
                            inAll,
                            summary == null ? 0 : now(summary, size, reserve),
                            summary == null ? 0 : queued(summary)));
        }
        return rooms;
    }

    /** Returns the other shard with the most room for {@code size} in which nothing waits. */
    static Optional<Room> idle(State state, ShardId except, Resources size) {
        return of(state, size).stream()
                .filter(r -> !r.shard().equals(except) && r.owned())
                .filter(r -> r.queued() == 0 && r.tasksNow() > 0)
                .max(Comparator.comparingLong(Room::tasksNow));
    }

    private static long now(ShardSummary summary, Resources size, Resources reserve) {
        if (!size.plus(reserve).fitsIn(summary.largestFree())) {
            return 0;
        }
        Resources kept = reserve.times(summary.workers());
        return Math.max(1, count(summary.free().minus(kept), size));
    }

    private static int queued(ShardSummary summary) {
        return summary.teams().values().stream().mapToInt(TeamLoad::queued).sum();
    }

    private static PSortedMap<ShardId, ShardSummary> summaries(State state) {
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
