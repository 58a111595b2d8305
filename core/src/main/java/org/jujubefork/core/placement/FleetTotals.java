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
 * does not have to compute the sums.
 *
 * @param capacity the total capacity of the workers of those shards
 * @param usage the declared sizes of running work in those shards, summed by team
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
            for (var shardAndSummary : member.row().shards().entrySet()) {
                if (state.shards().containsKey(shardAndSummary.getKey())) {
                    continue;
                }
                capacity = capacity.plus(shardAndSummary.getValue().capacity());
                for (var teamAndLoad : shardAndSummary.getValue().teams().entrySet()) {
                    Resources usageSoFar = usage.getOrDefault(teamAndLoad.getKey(), Resources.ZERO);
                    usage =
                            usage.plus(
                                    teamAndLoad.getKey(),
                                    usageSoFar.plus(teamAndLoad.getValue().running()));
                }
            }
        }
        return new FleetTotals(capacity, usage);
    }
}
