package org.jujubefork.core.placement;

import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;

/** What teams use across the fleet: exact for owned shards, from gossip for the others. */
public final class FleetUsage {
    private FleetUsage() {}

    /** Returns what {@code team} has running in all shards. */
    public static Resources of(State state, TeamId team) {
        Resources sum = Resources.ZERO;
        for (ShardState shard : state.shards().values()) {
            sum = sum.plus(shard.usageOf(team));
        }
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member)) {
                sum = sum.plus(remote(state, member, team));
            }
        }
        return sum;
    }

    /** Returns what the workers of all shards hold. */
    public static Resources capacity(State state) {
        Resources sum = Resources.ZERO;
        for (ShardState shard : state.shards().values()) {
            sum = sum.plus(shard.capacity());
        }
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member)) {
                for (var entry : member.row().shards().entrySet()) {
                    if (!state.shards().containsKey(entry.getKey())) {
                        sum = sum.plus(entry.getValue().capacity());
                    }
                }
            }
        }
        return sum;
    }

    private static Resources remote(State state, Member member, TeamId team) {
        Resources sum = Resources.ZERO;
        for (var entry : member.row().shards().entrySet()) {
            if (!state.shards().containsKey(entry.getKey())) {
                sum = sum.plus(running(entry.getValue(), team));
            }
        }
        return sum;
    }

    private static Resources running(ShardSummary summary, TeamId team) {
        TeamLoad load = summary.teams().get(team);
        return load == null ? Resources.ZERO : load.running();
    }
}
