package org.jujubefork.core.ownership;

import java.util.HashSet;
import java.util.Set;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;

/**
 * Tells whether another entry may hold leases on workers of an owned shard without this entry
 * knowing.
 *
 * <p>Ownership moves without agreement between entries, so that the owner's clock alone does not
 * prove that the lease of an unreachable worker is over: an entry that is cut off from the owner
 * may have taken the worker over and may go on renewing the lease. Such an entry is not heard and
 * has its address in the store. Without the store, any entry that has gone silent may be one.
 */
public final class UnreachableOwners {
    private UnreachableOwners() {}

    /** Notes the time while an unheard entry may own a shard. */
    public static State recordIfPossible(State state) {
        return mayExist(state)
                ? state.withOwnership(state.ownership().withUnreachableOwnerAt(state.nowMillis()))
                : state;
    }

    /**
     * Returns whether all leases that an unheard entry may have granted itself are over: for the
     * length of a lease none can have been renewed.
     */
    public static boolean areRuledOut(State state) {
        return state.nowMillis() - state.ownership().unreachableOwnerAtMillis()
                >= state.timing().leaseOverAfterMillis();
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
