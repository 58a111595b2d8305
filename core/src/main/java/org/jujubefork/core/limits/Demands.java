package org.jujubefork.core.limits;

import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerKey;

/** Compares budgets with what waits here and elsewhere. */
public final class Demands {
    private Demands() {}

    /** Returns what {@code team} has waiting in {@code shard} that its budget does not cover. */
    public static Resources unmet(State state, ShardState shard, TeamId team) {
        TeamDemand demand = TeamDemand.of(shard, team, free(shard));
        return need(shard, team, demand)
                .minus(Limits.allowance(state, shard, team))
                .max(Resources.ZERO)
                .min(demand.waiting());
    }

    /** Returns what {@code team} needs in {@code shard} to start all that waits and would fit. */
    static Resources need(ShardState shard, TeamId team, TeamDemand demand) {
        return shard.usageOf(team).plus(shard.unacquiredCapacity()).plus(demand.waiting());
    }

    /** Returns what is free on the workers of {@code shard} that take work. */
    static Resources free(ShardState shard) {
        Resources free = Resources.ZERO;
        for (WorkerKey worker : shard.workerIndex().byFree()) {
            free = free.plus(worker.free());
        }
        return free;
    }

    /** Returns the unmet demand of {@code team} in the shards of other live entries. */
    static Resources elsewhere(State state, TeamId team) {
        Resources sum = Resources.ZERO;
        for (Member member : state.membership().members().values()) {
            if (!Membership.isAlive(state, member)) {
                continue;
            }
            for (ShardSummary summary : member.row().shards().values()) {
                TeamLoad load = summary.teams().get(team);
                sum = load == null ? sum : sum.plus(load.waiting());
            }
        }
        return sum;
    }

    /**
     * Returns whether {@code team} has room for {@code size} in a shard other than {@code shard}.
     */
    public static boolean hasRoomElsewhere(
            State state, ShardState shard, TeamId team, Resources size) {
        for (ShardState own : state.shards().values()) {
            if (!own.id().equals(shard.id()) && Limits.allows(state, own, team, size)) {
                return true;
            }
        }
        for (Member member : state.membership().members().values()) {
            if (!Membership.isResponsive(state, member)) {
                continue;
            }
            for (var entry : member.row().shards().entrySet()) {
                TeamLoad load = entry.getValue().teams().get(team);
                boolean other =
                        !entry.getKey().equals(shard.id()) && entry.getValue().workers() > 0;
                if (other && (load == null || load.hasRoomFor(size))) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the most that a shard may keep or ask for while other shards have unmet demand: an
     * equal part of the limit, rounded up to whole pieces of work, so that no part of a piece is
     * kept from the others. Without demand elsewhere it is the limit.
     */
    static Resources ceiling(State state, TeamId team, Resources limit, TeamDemand demand) {
        int others = 0;
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member)) {
                others += countUnmet(member, team);
            }
        }
        return others == 0
                ? limit
                : roundedUp(limit.scaled(1.0 / (1 + others)), demand.largestHead()).min(limit);
    }

    private static Resources roundedUp(Resources amount, Resources piece) {
        return Resources.of(
                roundedUp(amount.cpuMillis(), piece.cpuMillis()),
                roundedUp(amount.memoryMb(), piece.memoryMb()),
                roundedUp(amount.accelerators(), piece.accelerators()));
    }

    private static long roundedUp(long amount, long piece) {
        return piece == 0 ? amount : Math.ceilDiv(amount, piece) * piece;
    }

    private static int countUnmet(Member member, TeamId team) {
        int count = 0;
        for (ShardSummary summary : member.row().shards().values()) {
            TeamLoad load = summary.teams().get(team);
            count += load != null && !load.waiting().isZero() ? 1 : 0;
        }
        return count;
    }
}
