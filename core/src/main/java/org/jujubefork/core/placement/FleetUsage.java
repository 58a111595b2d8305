package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;

/** What teams use across the fleet: exact for owned shards, from gossip for the others. */
public final class FleetUsage {
    private FleetUsage() {}

    /** Returns what {@code team} has running in all shards. */
    public static Resources of(State state, TeamId team) {
        Resources sum = state.remoteTotals().usage().getOrDefault(team, Resources.ZERO);
        for (ShardState shard : state.shards().values()) {
            sum = sum.plus(shard.usageOf(team));
        }
        return sum;
    }

    /** Returns what the workers of all shards hold. */
    public static Resources capacity(State state) {
        Resources sum = state.remoteTotals().capacity();
        for (ShardState shard : state.shards().values()) {
            sum = sum.plus(shard.capacity());
        }
        return sum;
    }

    /** Returns how much {@code team} uses of the fleet, divided by its weight. */
    public static double weightedShare(State state, TeamId team) {
        return weightedShare(state, team, Resources.ZERO);
    }

    /** Returns the weighted share of {@code team} if it used {@code extra} more. */
    public static double weightedShare(State state, TeamId team, Resources extra) {
        double weight =
                state.configuration().flatMap(c -> c.team(team)).map(Team::weight).orElse(1.0);
        return of(state, team).plus(extra).dominantShareOf(capacity(state)) / weight;
    }

    /** Returns the weighted share that every team is entitled to. */
    public static double fairShare(State state) {
        double weights = state.configuration().map(Configuration::totalWeight).orElse(0.0);
        return weights > 0 ? 1 / weights : 1;
    }
}
