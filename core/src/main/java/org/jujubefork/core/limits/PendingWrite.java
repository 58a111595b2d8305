package org.jujubefork.core.limits;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Ledger writes of which it is not known whether they take effect. At most one of them does,
 * because all of them replace the same revision.
 *
 * <p>They stay pending until the store shows a higher revision. A read that still shows the
 * expected revision settles nothing, because a write may be under way.
 *
 * @param expectedRevision the revision that the writes replace
 * @param ledgers what they write, each content once, the newest last
 * @param sentAtMillis when the newest was sent
 * @param completed whether an answer to the newest, or the loss of one, was reported
 */
public record PendingWrite(
        long expectedRevision, PVector<Ledger> ledgers, long sentAtMillis, boolean completed) {
    /** Bounds the memory for writes that are sent again during a long outage. */
    static final int MAX_LEDGERS = 8;

    /** Returns a first write. */
    static PendingWrite of(long expectedRevision, Ledger ledger, long nowMillis) {
        return new PendingWrite(expectedRevision, TreePVector.singleton(ledger), nowMillis, false);
    }

    /** Returns the newest content. */
    Ledger newest() {
        return ledgers.get(ledgers.size() - 1);
    }

    /**
     * Returns these writes and one more of the same revision; once {@link #MAX_LEDGERS} differ, the
     * newest is sent again instead.
     */
    PendingWrite withRetry(Ledger ledger, long nowMillis) {
        boolean isIncluded = ledgers.size() >= MAX_LEDGERS || ledgers.contains(ledger);
        Ledger next = ledgers.size() >= MAX_LEDGERS ? newest() : ledger;
        PVector<Ledger> all = isIncluded ? ledgers.minus(next).plus(next) : ledgers.plus(next);
        return new PendingWrite(expectedRevision, all, nowMillis, false);
    }

    /** Returns these writes after the answer to the newest was lost. */
    PendingWrite withFailure() {
        return new PendingWrite(expectedRevision, ledgers, sentAtMillis, true);
    }
}
