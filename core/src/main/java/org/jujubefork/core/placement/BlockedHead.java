package org.jujubefork.core.placement;

/**
 * The head of a lane that was tried and did not fit.
 *
 * @param sequence its number of arrival
 * @param backfillUntilMillis until when work behind it may be started ahead of it
 * @param cursor the number of the work behind it that was examined last; its own if none was
 */
record BlockedHead(long sequence, long backfillUntilMillis, long cursor) {
    BlockedHead withCursor(long other) {
        return new BlockedHead(sequence, backfillUntilMillis, other);
    }

    BlockedHead withoutBackfill() {
        return new BlockedHead(sequence, Long.MIN_VALUE, cursor);
    }
}
