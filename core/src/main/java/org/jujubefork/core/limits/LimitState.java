package org.jujubefork.core.limits;

/**
 * What an entry knows of the ledger.
 *
 * @param revision the revision of the newest copy; 0 if none exists
 * @param ledger the newest copy
 */
public record LimitState(long revision, Ledger ledger) {
    /** No ledger is known. */
    public static final LimitState EMPTY = new LimitState(0, Ledger.EMPTY);
}
