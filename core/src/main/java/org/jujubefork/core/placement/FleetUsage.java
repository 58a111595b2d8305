package org.jujubefork.core.placement;

import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.fairshare.FairShare;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;

/** Resource usage of teams across the fleet: exact for owned shards, from gossip for the others. */
public final class FleetUsage {
    private FleetUsage() {}

    /** Returns the resources of the running work of {@code team} in all shards. */
    public static Resources of(State state, TeamId team) {
        Resources sum = state.remoteTotals().usage().getOrDefault(team, Resources.ZERO);
        for (ShardState shard : state.shards().values()) {
            sum = sum.plus(shard.usageOf(team));
        }
        return sum;
    }

    /** Returns the total capacity of the workers of all shards. */
    public static Resources capacity(State state) {
        Resources sum = state.remoteTotals().capacity();
        for (ShardState shard : state.shards().values()) {
            sum = sum.plus(shard.capacity());
        }
        return sum;
    }

    /** Returns the dominant share of {@code team} in the fleet divided by its weight. */
    public static double weightedShare(State state, TeamId team) {
        return weightedShare(state, team, Resources.ZERO);
    }

    /**
     * Returns the weighted share that {@code team} would have if it used {@code extra} more;
     * negative amounts reduce its usage.
     */
    public static double weightedShare(State state, TeamId team, Resources extra) {
        double weight =
                state.configuration().flatMap(c -> c.team(team)).map(Team::weight).orElse(1.0);
        return FairShare.weightedShare(
                of(state, team).plus(extra).dominantShareOf(capacity(state)), weight);
    }

    /**
     * Returns the weighted share to which every team is entitled: 1 divided by the sum of all
     * weights.
     */
    public static double fairShare(State state) {
        double weights = state.configuration().map(Configuration::totalWeight).orElse(0.0);
        return new FairShare(weights).entitledWeightedShare();
    }
}
