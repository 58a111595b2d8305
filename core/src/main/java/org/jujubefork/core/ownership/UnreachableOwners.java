package org.jujubefork.core.ownership;

import java.util.HashSet;
import java.util.Set;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;

/**
 * Decides whether an entry that this entry cannot reach may hold leases on workers of an owned
 * shard.
 *
 * <p>Entries take over shards without consensus. The owner's clock alone therefore does not prove
 * that the lease of an unreachable worker has expired: an entry that is partitioned from the owner
 * may have acquired the worker and continue to renew the lease. No gossip arrives from the
 * partitioned entry, but its address is listed in the store. While the store is unreachable, any
 * member without recent heartbeats may be a partitioned entry.
 */
public final class UnreachableOwners {
    private UnreachableOwners() {}

    /**
     * Records the current time as the last time at which an unreachable entry may have owned a
     * shard, if that is possible now.
     */
    public static State recordIfPossible(State state) {
        return mayExist(state)
                ? state.withOwnership(state.ownership().withUnreachableOwnerAt(state.nowMillis()))
                : state;
    }

    /**
     * Returns whether no unreachable entry can hold a lease: for at least the duration of a lease
     * plus its clock drift margin, no unreachable entry can have owned a shard, so every lease that
     * such an entry renewed has expired.
     */
    public static boolean areRuledOut(State state) {
        return state.nowMillis() - state.ownership().unreachableOwnerAtMillis()
                >= state.timing().leaseExpiryWithMarginMillis();
    }

    private static boolean mayExist(State state) {
        Set<String> reachable = new HashSet<>();
        reachable.add(state.self().peerAddress());
        boolean hasUnreachableMember = false;
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member)) {
                reachable.add(member.row().peerAddress());
            } else {
                hasUnreachableMember = true;
            }
        }
        return hasUnreachableMember && !ConfigurationFreshness.isStoreContactFresh(state)
                || !reachable.containsAll(state.ownership().listedEntries());
    }
}
