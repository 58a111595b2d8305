package org.jujubefork.core.limits;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Ledger writes whose result is unknown. At most one of them takes effect, because all of them
 * replace the same revision.
 *
 * <p>They stay pending until the store shows a higher revision. A read that still shows the
 * expected revision proves nothing, because a write may still be in flight.
 *
 * @param expectedRevision the revision that the writes replace
 * @param ledgers the distinct ledgers written, the most recent last
 * @param sentAtMillis when the most recent write was sent
 * @param completed whether the call of the most recent write has ended, with or without an answer
 */
public record PendingWrite(
        long expectedRevision, PVector<Ledger> ledgers, long sentAtMillis, boolean completed) {
    /** Maximum number of distinct ledgers; bounds memory when writes are retried in an outage. */
    static final int MAX_LEDGERS = 8;

    /** Returns a pending write without retries. */
    static PendingWrite of(long expectedRevision, Ledger ledger, long nowMillis) {
        return new PendingWrite(expectedRevision, TreePVector.singleton(ledger), nowMillis, false);
    }

    /** Returns the most recently written ledger. */
    Ledger newest() {
        return ledgers.get(ledgers.size() - 1);
    }

    /**
     * Returns these writes plus one that replaces the same revision with {@code ledger}. Once there
     * are {@link #MAX_LEDGERS} distinct ledgers, the most recent one is written again instead.
     */
    PendingWrite withRetry(Ledger ledger, long nowMillis) {
        boolean isIncluded = ledgers.size() >= MAX_LEDGERS || ledgers.contains(ledger);
        Ledger next = ledgers.size() >= MAX_LEDGERS ? newest() : ledger;
        PVector<Ledger> all = isIncluded ? ledgers.minus(next).plus(next) : ledgers.plus(next);
        return new PendingWrite(expectedRevision, all, nowMillis, false);
    }

    /** Returns these writes after the call of the most recent one failed with an unknown result. */
    PendingWrite withFailure() {
        return new PendingWrite(expectedRevision, ledgers, sentAtMillis, true);
    }
}
