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

/** Computes the budget that teams require in owned shards and in the shards of other entries. */
public final class BudgetDemand {
    private BudgetDemand() {}

    /**
     * Returns the total size of the waiting work of {@code team} in {@code shard} that the team's
     * budget there does not cover.
     */
    public static Resources unmet(State state, ShardState shard, TeamId team) {
        TeamDemand demand = TeamDemand.of(shard, team, freeCapacity(shard));
        return requiredBudget(shard, team, demand)
                .minus(Limits.allowance(state, shard, team))
                .max(Resources.ZERO)
                .min(demand.waiting());
    }

    /**
     * Returns the budget that {@code team} requires in {@code shard} to start all waiting work that
     * fits in the free capacity.
     */
    static Resources requiredBudget(ShardState shard, TeamId team, TeamDemand demand) {
        return shard.usageOf(team).plus(shard.unacquiredCapacity()).plus(demand.waiting());
    }

    /** Returns the free capacity on the workers of {@code shard} that accept work. */
    static Resources freeCapacity(ShardState shard) {
        Resources sum = Resources.ZERO;
        for (WorkerKey worker : shard.workerIndex().byFree()) {
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
     * Returns whether the budget of {@code team} covers work of {@code size} in a shard other than
     * {@code shard}.
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
            for (var shardAndSummary : member.row().shards().entrySet()) {
                TeamLoad load = shardAndSummary.getValue().teams().get(team);
                boolean isUsable =
                        !shardAndSummary.getKey().equals(shard.id())
                                && shardAndSummary.getValue().workers() > 0;
                if (isUsable && (load == null || load.hasBudgetFor(size))) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the largest budget that a shard may keep or request. While other shards have unmet
     * demand, this is an equal part of the limit, rounded up to a multiple of the team's largest
     * waiting task or request, so that no shard holds budget for a fraction of a task. Without
     * demand in other shards, this is the whole limit.
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
