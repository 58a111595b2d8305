package org.jujubefork.core.limits;

import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.FleetUsage;
import org.jujubefork.core.placement.ShardState;

/** Decides whether a team may start more work. */
public final class Limits {
    private Limits() {}

    /**
     * Returns whether {@code team} may start work of {@code size} in {@code shard} within its upper
     * limit.
     */
    public static boolean allows(State state, ShardState shard, TeamId team, Resources size) {
        return state.configuration()
                .flatMap(c -> c.team(team))
                .map(t -> FleetUsage.of(state, team).plus(size).fitsIn(t.limit()))
                .orElse(false);
    }
}
