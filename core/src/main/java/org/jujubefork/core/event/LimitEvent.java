package org.jujubefork.core.event;

import org.jujubefork.core.limits.Ledger;

/** Results of store calls for the ledger of team budgets. */
public sealed interface LimitEvent extends Event {
    /**
     * The ledger was read from the store, or a write of this entry took effect.
     *
     * @param atMillis when the store's answer was received
     * @param revision the revision in the store; 0 if the ledger does not exist
     * @param ledger the ledger as of that revision
     */
    record LedgerLoaded(long atMillis, long revision, Ledger ledger) implements LimitEvent {}

    /**
     * A write of the ledger did not take effect, or it is unknown whether the write took effect. In
     * both cases the reducer assumes that the write may take effect until it sees a higher
     * revision, because the results of two writes can arrive in any order.
     *
     * @param atMillis when the write failed or timed out
     * @param maybeWritten whether the write may have taken effect
     */
    record LedgerWriteFailed(long atMillis, boolean maybeWritten) implements LimitEvent {}
}
