package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.placement.ShardState;

/** Decides to which other entry a live owner should hand over a shard. */
public final class Handover {
    /** How long this entry must have run and owned a shard before it offers the shard to others. */
    static final long STABILIZATION_MILLIS = 5_000;

    private Handover() {}

    /**
     * Returns the name of the entry that should take over {@code shard}; empty if this entry should
     * keep it. While this entry is draining, the result is the best other candidate. Otherwise the
     * result is an entry in the shard's availability zone if this entry is in another zone, or an
     * equally close entry that owns at least two shards fewer. To balance load, the entry offers
     * one shard at a time: the owned shard with the highest id.
     */
    public static Optional<String> target(State state, ShardId shard) {
        if (state.draining()) {
            return OwnerCandidates.bestOtherEntry(state, shard);
        }
        ShardState owned = state.shards().get(shard);
        boolean isStable =
                state.nowMillis() - state.membership().startedAtMillis() >= STABILIZATION_MILLIS
                        && owned != null
                        && state.nowMillis() - owned.claimedAtMillis() >= STABILIZATION_MILLIS;
        if (!isStable) {
            return Optional.empty();
        }
        String zone = Sharding.zoneOf(shard);
        if (!zone.equals(state.self().location().zone())) {
            Optional<String> inZone =
                    OwnerCandidates.bestOtherEntry(state, shard)
                            .filter(name -> isResponsiveInZone(state, name, zone));
            if (inZone.isPresent()) {
                return inZone;
            }
        }
        return shard.equals(state.shards().lastKey())
                ? OwnerCandidates.lessLoadedEntry(state, shard)
                        .filter(name -> isResponsive(state, name))
                : Optional.empty();
    }

    private static boolean isResponsive(State state, String name) {
        Member member = state.membership().members().get(name);
        return member != null && Membership.isResponsive(state, member);
    }

    private static boolean isResponsiveInZone(State state, String name, String zone) {
        Member member = state.membership().members().get(name);
        return isResponsive(state, name) && member.row().location().zone().equals(zone);
    }
}
