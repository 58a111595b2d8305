package org.jujubefork.core.placement;

import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Capacity and usage of the shards of other live entries, as reported by gossip. The sums are
 * recomputed when gossip arrives, on each tick and when the owned shards change, so that placement
 * does not have to compute them.
 *
 * @param capacity the total capacity of the workers of those shards
 * @param usage the resources of running work there, by team
 */
public record FleetTotals(Resources capacity, PSortedMap<TeamId, Resources> usage) {
    /** The totals while no other entry is known. */
    public static final FleetTotals NONE = new FleetTotals(Resources.ZERO, TreePMap.empty());

    /** Returns the totals for the current gossip state. */
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
