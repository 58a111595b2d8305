package org.jujubefork.core.placement;

import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.control.State;
import org.jujubefork.core.limits.BudgetDemand;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.ownership.Handover;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/** Summarizes owned shards for gossip and for routing. */
public final class ShardSummaries {
    private ShardSummaries() {}

    /** Returns the summaries of all shards that this entry owns. */
    public static PSortedMap<ShardId, ShardSummary> of(State state) {
        PSortedMap<ShardId, ShardSummary> summaries = TreePMap.empty();
        for (ShardState shard : state.shards().values()) {
            summaries =
                    summaries.plus(
                            shard.id(), of(state, shard, Handover.target(state, shard.id())));
        }
        return summaries;
    }

    /**
     * Returns the summary of {@code shard}; {@code handoverTo} is the entry to which it is being
     * handed over, if any.
     */
    public static ShardSummary of(State state, ShardState shard, Optional<String> handoverTo) {
        WorkerTree workers = shard.workerIndex().byFree();
        return new ShardSummary(
                shard.epoch(),
                workers.size(),
                workers.totalFreeSlots(),
                shard.queue().requestCount(),
                shard.capacity(),
                workers.totalFree(),
                workers.maxFree(),
                loadsByTeam(state, shard),
                handoverTo);
    }

    private static PSortedMap<TeamId, TeamLoad> loadsByTeam(State state, ShardState shard) {
        PSortedMap<TeamId, TeamLoad> loadsByTeam = TreePMap.empty();
        for (var teamAndUsage : shard.usage().entrySet()) {
            loadsByTeam =
                    loadsByTeam.plus(
                            teamAndUsage.getKey(),
                            new TeamLoad(teamAndUsage.getValue(), Resources.ZERO, 0));
        }
        loadsByTeam = loadsByTeam.plusAll(idleTeamsWithoutBudget(state, shard));
        for (var keyAndLane : shard.queue().lanes().entrySet()) {
            TeamId team = keyAndLane.getKey().team();
            TeamLoad load = loadsByTeam.containsKey(team) ? loadsByTeam.get(team) : TeamLoad.NONE;
            int queued = load.queued() + keyAndLane.getValue().size();
            Resources unmet =
                    load.queued() > 0 ? load.waiting() : BudgetDemand.unmet(state, shard, team);
            loadsByTeam = loadsByTeam.plus(team, new TeamLoad(load.running(), unmet, queued));
        }
        for (var teamAndLoad : loadsByTeam.entrySet()) {
            loadsByTeam =
                    loadsByTeam.plus(
                            teamAndLoad.getKey(),
                            withBudget(state, shard, teamAndLoad.getKey(), teamAndLoad.getValue()));
        }
        return loadsByTeam;
    }

    /**
     * Returns an empty load for each team that uses nothing and has no budget. Idle teams with a
     * budget are omitted to keep gossip rows short; other entries assume that such teams have free
     * capacity.
     */
    private static PSortedMap<TeamId, TeamLoad> idleTeamsWithoutBudget(
            State state, ShardState shard) {
        PSortedMap<TeamId, TeamLoad> loadsByTeam = TreePMap.empty();
        for (TeamId team : state.configuration().map(c -> c.teams().keySet()).orElse(Set.of())) {
            Resources budget = Limits.available(state, shard, team);
            boolean hasNoBudget = budget.cpuMillis() == 0 || budget.memoryMb() == 0;
            if (hasNoBudget && shard.usageOf(team).isZero()) {
                loadsByTeam = loadsByTeam.plus(team, TeamLoad.NONE);
            }
        }
        return loadsByTeam;
    }

    private static TeamLoad withBudget(State state, ShardState shard, TeamId team, TeamLoad load) {
        return Limits.isBinding(state, team)
                ? new TeamLoad(
                        load.running(),
                        load.waiting(),
                        load.queued(),
                        Optional.of(Limits.available(state, shard, team)))
                : load;
    }
}
