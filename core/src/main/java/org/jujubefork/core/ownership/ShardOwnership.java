package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;

/**
 * What an entry knows about the ownership of one shard.
 *
 * @param highestEpochNumber the highest epoch number seen
 * @param unownedSinceMillis since when no live owner is known; {@link #OWNED} if there is one
 * @param backoffUntilMillis until when this entry leaves the shard alone after it lost it
 * @param lastOwner the run that was last known to own it
 * @param consecutiveLosses how often in a row this entry lost the shard to another entry
 */
public record ShardOwnership(
        long highestEpochNumber,
        long unownedSinceMillis,
        long backoffUntilMillis,
        Optional<EntryId> lastOwner,
        int consecutiveLosses) {
    /** Stands for a shard with a live owner. */
    public static final long OWNED = Long.MAX_VALUE;

    /** Nothing is known of the shard. */
    public static final ShardOwnership UNKNOWN =
            new ShardOwnership(0, OWNED, Long.MIN_VALUE / 2, Optional.empty(), 0);

    private static final long INITIAL_BACKOFF_MILLIS = 2_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** Returns this view with at least {@code number} as the highest epoch number. */
    public ShardOwnership withEpochNumber(long number) {
        return number <= highestEpochNumber
                ? this
                : new ShardOwnership(
                        number,
                        unownedSinceMillis,
                        backoffUntilMillis,
                        lastOwner,
                        consecutiveLosses);
    }

    /** Returns this view of a shard that {@code owner} owns. */
    public ShardOwnership withOwner(EntryId owner) {
        Optional<EntryId> newOwner = Optional.of(owner);
        ShardOwnership owned = withLiveOwner();
        return newOwner.equals(lastOwner)
                ? owned
                : new ShardOwnership(
                        highestEpochNumber, OWNED, backoffUntilMillis, newOwner, consecutiveLosses);
    }

    /** Returns this view of a shard with a live owner. */
    public ShardOwnership withLiveOwner() {
        return unownedSinceMillis == OWNED
                ? this
                : new ShardOwnership(
                        highestEpochNumber,
                        OWNED,
                        backoffUntilMillis,
                        lastOwner,
                        consecutiveLosses);
    }

    /** Returns this view of a shard that this entry has held without being outranked for long. */
    public ShardOwnership withLossesReset() {
        return consecutiveLosses == 0
                ? this
                : new ShardOwnership(
                        highestEpochNumber, unownedSinceMillis, backoffUntilMillis, lastOwner, 0);
    }

    /** Returns this view of a shard without a live owner. */
    public ShardOwnership withoutLiveOwner(long nowMillis) {
        return unownedSinceMillis == OWNED
                ? new ShardOwnership(
                        highestEpochNumber,
                        nowMillis,
                        backoffUntilMillis,
                        lastOwner,
                        consecutiveLosses)
                : this;
    }

    /**
     * Returns this view after this entry lost the shard; the time to wait doubles with each loss.
     */
    public ShardOwnership afterLoss(long nowMillis) {
        long backoffMillis =
                INITIAL_BACKOFF_MILLIS << Math.min(consecutiveLosses, MAX_BACKOFF_DOUBLINGS);
        return new ShardOwnership(
                highestEpochNumber,
                OWNED,
                nowMillis + backoffMillis,
                lastOwner,
                consecutiveLosses + 1);
    }
}
