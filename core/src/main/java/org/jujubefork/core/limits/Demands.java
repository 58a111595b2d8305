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
        return shard.usageOf(team).plus(shard.charged()).plus(demand.waiting());
    }

    /** Returns what is free on the workers of {@code shard} that take work. */
    static Resources free(ShardState shard) {
        Resources free = Resources.ZERO;
        for (WorkerKey worker : shard.index().byFree()) {
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
     * Returns the most that a shard may keep or ask for while other shards have unmet demand: an
     * equal part of the limit, and one piece of work more, so that parts that are no multiple of
     * the sizes are not left over. Without demand elsewhere it is the limit.
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
                : limit.scaled(1.0 / (1 + others)).plus(demand.largestHead()).min(limit);
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
