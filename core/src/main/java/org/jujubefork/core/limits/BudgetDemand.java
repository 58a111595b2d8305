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
public final class BudgetDemand {
    private BudgetDemand() {}

    /** Returns what {@code team} has waiting in {@code shard} that its budget does not cover. */
    public static Resources unmet(State state, ShardState shard, TeamId team) {
        TeamDemand demand = TeamDemand.of(shard, team, freeCapacity(shard));
        return requiredBudget(shard, team, demand)
                .minus(Limits.allowance(state, shard, team))
                .max(Resources.ZERO)
                .min(demand.waiting());
    }

    /** Returns what {@code team} needs in {@code shard} to start all that waits and would fit. */
    static Resources requiredBudget(ShardState shard, TeamId team, TeamDemand demand) {
        return shard.usageOf(team).plus(shard.charged()).plus(demand.waiting());
    }

    /** Returns what is free on the workers of {@code shard} that take work. */
    static Resources freeCapacity(ShardState shard) {
        Resources sum = Resources.ZERO;
        for (WorkerKey worker : shard.index().byFree()) {
            sum = sum.plus(worker.free());
        }
        return sum;
    }

    /** Returns the unmet demand of {@code team} in the shards of other live entries. */
    static Resources unmetElsewhere(State state, TeamId team) {
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
    public static boolean hasBudgetElsewhere(
            State state, ShardState shard, TeamId team, Resources size) {
        for (ShardState owned : state.shards().values()) {
            if (!owned.id().equals(shard.id()) && Limits.allows(state, owned, team, size)) {
                return true;
            }
        }
        for (Member member : state.membership().members().values()) {
            if (!Membership.isResponsive(state, member)) {
                continue;
            }
            for (var entry : member.row().shards().entrySet()) {
                TeamLoad load = entry.getValue().teams().get(team);
                boolean isUsable =
                        !entry.getKey().equals(shard.id()) && entry.getValue().workers() > 0;
                if (isUsable && (load == null || load.hasBudgetFor(size))) {
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
    static Resources budgetCeiling(State state, TeamId team, Resources limit, TeamDemand demand) {
        int competingShards = 0;
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member)) {
                competingShards += countShardsWithUnmetDemand(member, team);
            }
        }
        return competingShards == 0
                ? limit
                : roundUpToMultiple(
                                limit.scaled(1.0 / (1 + competingShards)), demand.largestHeadSize())
                        .min(limit);
    }

    private static Resources roundUpToMultiple(Resources amount, Resources unit) {
        return Resources.of(
                roundUpToMultiple(amount.cpuMillis(), unit.cpuMillis()),
                roundUpToMultiple(amount.memoryMb(), unit.memoryMb()),
                roundUpToMultiple(amount.accelerators(), unit.accelerators()));
    }

    private static long roundUpToMultiple(long amount, long unit) {
        return unit == 0 ? amount : Math.ceilDiv(amount, unit) * unit;
    }

    private static int countShardsWithUnmetDemand(Member member, TeamId team) {
        int count = 0;
        for (ShardSummary summary : member.row().shards().values()) {
            TeamLoad load = summary.teams().get(team);
            count += load != null && !load.waiting().isZero() ? 1 : 0;
        }
        return count;
    }
}
