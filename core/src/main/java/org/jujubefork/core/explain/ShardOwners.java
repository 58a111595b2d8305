package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.ShardSummaries;

/** Finds the live owners of shards. */
final class ShardOwners {
    private ShardOwners() {}

    /**
     * The live owner of a shard.
     *
     * @param owner name and incarnation of the owner
     * @param summary the load of the shard
     */
    record OwnedShard(EntryId owner, ShardSummary summary) {}

    static Optional<OwnedShard> find(State state, ShardId shard) {
        ShardState ownedShard = state.shards().get(shard);
        if (ownedShard != null) {
            ShardSummary summary = ShardSummaries.of(state, ownedShard, Optional.empty());
            return Optional.of(new OwnedShard(state.self().id(), summary));
        }
        Optional<OwnedShard> best = Optional.empty();
        for (Member member : state.membership().members().values()) {
            Optional<ShardSummary> summary = member.row().shard(shard);
            boolean isPreferred =
                    summary.isPresent()
                            && Membership.isAlive(state, member)
                            && (best.isEmpty()
                                    || summary.get().epoch().isAbove(best.get().summary().epoch()));
            if (isPreferred) {
                best = Optional.of(new OwnedShard(member.row().id(), summary.get()));
            }
        }
        return best;
    }

    static Optional<String> ownerName(State state, ShardId shard) {
        return find(state, shard).map(o -> o.owner().toString());
    }
}
