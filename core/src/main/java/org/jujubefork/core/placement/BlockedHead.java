package org.jujubefork.core.placement;

/**
 * The head of a lane that was tried and did not fit.
 *
 * @param sequence the sequence number of the head in the queue
 * @param backfillUntilMillis time until which work that is queued behind the head may be started
 *     before it
 * @param cursor the sequence number of the item behind the head that was last examined for
 *     backfilling; the head's own sequence number if no item was examined
 */
record BlockedHead(long sequence, long backfillUntilMillis, long cursor) {
    BlockedHead withCursor(long other) {
        return new BlockedHead(sequence, backfillUntilMillis, other);
    }

    BlockedHead withoutBackfill() {
        return new BlockedHead(sequence, Long.MIN_VALUE, cursor);
    }
}
