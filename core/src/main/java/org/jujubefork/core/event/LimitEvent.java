package org.jujubefork.core.event;

import org.jujubefork.core.limits.Ledger;

/** News of the ledger of budgets. */
public sealed interface LimitEvent extends Event {
    /**
     * The ledger was read from the store, or a write of this entry took effect.
     *
     * @param atMillis when
     * @param revision the revision in the store, 0 if the ledger does not exist
     * @param ledger the ledger
     */
    record LedgerLoaded(long atMillis, long revision, Ledger ledger) implements LimitEvent {}

    /**
     * A write of the ledger did not take effect, or it is not known whether it did. The reducer
     * counts the write as possible in both cases until the revision has moved on, because reports
     * of two writes can arrive in any order.
     *
     * @param atMillis when
     * @param maybeWritten whether the write may have taken effect
     */
    record LedgerWriteFailed(long atMillis, boolean maybeWritten) implements LimitEvent {}
}
