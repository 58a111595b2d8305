package org.jujubefork.core.placement;

import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Sums over the shards of other live entries, as gossip reports them. They are computed when gossip
 * arrives, when time passes and when the owned shards change, so that no placement sums them.
 *
 * @param capacity what the workers of those shards hold
 * @param usage what teams have running there
 */
public record FleetTotals(Resources capacity, PSortedMap<TeamId, Resources> usage) {
    /** No other entry is known. */
    public static final FleetTotals NONE = new FleetTotals(Resources.ZERO, TreePMap.empty());

    /** Returns the sums as {@code state} shows them now. */
    public static FleetTotals of(State state) {
        Resources capacity = Resources.ZERO;
        PSortedMap<TeamId, Resources> usage = TreePMap.empty();
        for (Member member : state.membership().members().values()) {
            if (!Membership.isAlive(state, member)) {
                continue;
            }
            for (var shard : member.row().shards().entrySet()) {
                if (state.shards().containsKey(shard.getKey())) {
                    continue;
                }
                capacity = capacity.plus(shard.getValue().capacity());
                for (var team : shard.getValue().teams().entrySet()) {
                    Resources known = usage.getOrDefault(team.getKey(), Resources.ZERO);
                    usage = usage.plus(team.getKey(), known.plus(team.getValue().running()));
                }
            }
        }
        return new FleetTotals(capacity, usage);
    }
}
