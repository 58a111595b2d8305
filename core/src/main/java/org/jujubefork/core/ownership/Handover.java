package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.ShardId;

/** Decides to which entry an owned shard should go while this entry is alive. */
public final class Handover {
    /** How long an entry must have been known before it is asked to take a shard over. */
    static final long SETTLE_MILLIS = 5_000;

    private Handover() {}

    /**
     * Returns the name of the entry that is to take {@code shard} over: the best other candidate
     * while this entry is stopping, or one in the shard's availability zone if this entry stands
     * elsewhere.
     */
    public static Optional<String> target(State state, ShardId shard) {
        if (state.draining()) {
            return Candidates.bestOther(state, shard);
        }
        String zone = Sharding.zoneOf(shard);
        boolean settled = state.nowMillis() - state.membership().startedAtMillis() >= SETTLE_MILLIS;
        if (!settled || zone.equals(state.self().location().zone())) {
            return Optional.empty();
        }
        return Candidates.bestOther(state, shard).filter(name -> standsIn(state, name, zone));
    }

    private static boolean standsIn(State state, String name, String zone) {
        Member member = state.membership().members().get(name);
        return member != null
                && Membership.isResponsive(state, member)
                && member.row().location().zone().equals(zone);
    }
}
