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
final class Owners {
    private Owners() {}

    /**
     * A shard with its live owner.
     *
     * @param owner the owner
     * @param summary the load of the shard
     */
    record Owned(EntryId owner, ShardSummary summary) {}

    static Optional<Owned> of(State state, ShardId shard) {
        ShardState own = state.shards().get(shard);
        if (own != null) {
            ShardSummary summary = ShardSummaries.of(state, own, Optional.empty());
            return Optional.of(new Owned(state.self().id(), summary));
        }
        Optional<Owned> best = Optional.empty();
        for (Member member : state.membership().members().values()) {
            Optional<ShardSummary> summary = member.row().shard(shard);
            boolean better =
                    summary.isPresent()
                            && Membership.isAlive(state, member)
                            && (best.isEmpty()
                                    || summary.get().epoch().isAbove(best.get().summary().epoch()));
            if (better) {
                best = Optional.of(new Owned(member.row().id(), summary.get()));
            }
        }
        return best;
    }

    static Optional<String> name(State state, ShardId shard) {
        return of(state, shard).map(o -> o.owner().toString());
    }
}
