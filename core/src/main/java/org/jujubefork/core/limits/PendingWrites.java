package org.jujubefork.core.limits;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Ledger writes whose result is unknown. At most one of them takes effect, because all of them
 * replace the same revision.
 *
 * <p>The writes stay pending until the store shows a higher revision. A read that still shows the
 * expected revision proves nothing, because a write may still be in flight.
 *
 * @param expectedRevision the revision that the writes replace
 * @param ledgers the distinct ledgers written, the most recent last
 * @param sentAtMillis when the most recent write was sent
 * @param lastCallCompleted whether the call of the most recent write has ended, with or without an
 *     answer
 */
public record PendingWrites(
        long expectedRevision,
        PVector<Ledger> ledgers,
        long sentAtMillis,
        boolean lastCallCompleted) {
    /** Maximum number of distinct ledgers; bounds memory when writes are retried in an outage. */
    static final int MAX_LEDGERS = 8;

    /** Returns the pending writes after the first attempt, which writes {@code ledger}. */
    static PendingWrites of(long expectedRevision, Ledger ledger, long nowMillis) {
        return new PendingWrites(expectedRevision, TreePVector.singleton(ledger), nowMillis, false);
    }

    /** Returns the most recently written ledger. */
    Ledger newestLedger() {
        return ledgers.get(ledgers.size() - 1);
    }

    /**
     * Returns these writes plus a write that replaces the same revision with {@code ledger}. Once
     * there are {@link #MAX_LEDGERS} distinct ledgers, the most recent ledger is written again
     * instead.
     */
    PendingWrites withRetry(Ledger ledger, long nowMillis) {
        boolean isIncluded = ledgers.size() >= MAX_LEDGERS || ledgers.contains(ledger);
        Ledger ledgerToWrite = ledgers.size() >= MAX_LEDGERS ? newestLedger() : ledger;
        PVector<Ledger> distinctLedgers =
                isIncluded
                        ? ledgers.minus(ledgerToWrite).plus(ledgerToWrite)
                        : ledgers.plus(ledgerToWrite);
        return new PendingWrites(expectedRevision, distinctLedgers, nowMillis, false);
    }

    /**
     * Returns these writes after the call of the most recent write failed with an unknown result.
     */
    PendingWrites withFailure() {
        return new PendingWrites(expectedRevision, ledgers, sentAtMillis, true);
    }
}
