package org.jujubefork.core.placement;

/**
 * The head of a lane that was tried and did not fit.
 *
 * @param sequence its sequence number in the queue
 * @param backfillUntilMillis until when work behind it may be started ahead of it
 * @param cursor the sequence number of the item behind it that was last examined for backfilling;
 *     its own if none was
 */
record BlockedHead(long sequence, long backfillUntilMillis, long cursor) {
    BlockedHead withCursor(long other) {
        return new BlockedHead(sequence, backfillUntilMillis, other);
    }

    BlockedHead withoutBackfill() {
        return new BlockedHead(sequence, Long.MIN_VALUE, cursor);
    }
}
