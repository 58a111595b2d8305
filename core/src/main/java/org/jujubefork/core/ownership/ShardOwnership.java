package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;

/**
 * What an entry knows about the ownership of one shard.
 *
 * @param highestEpochNumber the highest epoch number seen
 * @param unownedSinceMillis since when no live owner is known; {@link #OWNED} if there is one
 * @param backoffUntilMillis until when this entry leaves the shard alone after it lost it
 * @param owner the run that was last known to own it
 * @param losses how often in a row this entry lost the shard to another entry
 */
public record ShardOwnership(
        long highestEpochNumber,
        long unownedSinceMillis,
        long backoffUntilMillis,
        Optional<EntryId> owner,
        int losses) {
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
                : new ShardOwnership(number, unownedSinceMillis, backoffUntilMillis, owner, losses);
    }

    /** Returns this view of a shard that {@code holder} owns. */
    public ShardOwnership withOwner(EntryId holder) {
        Optional<EntryId> newOwner = Optional.of(holder);
        ShardOwnership owned = withLiveOwner();
        return newOwner.equals(owner)
                ? owned
                : new ShardOwnership(
                        highestEpochNumber, OWNED, backoffUntilMillis, newOwner, losses);
    }

    /** Returns this view of a shard with a live owner. */
    public ShardOwnership withLiveOwner() {
        return unownedSinceMillis == OWNED
                ? this
                : new ShardOwnership(highestEpochNumber, OWNED, backoffUntilMillis, owner, losses);
    }

    /** Returns this view of a shard that this entry has held without being outranked for long. */
    public ShardOwnership withLossesReset() {
        return losses == 0
                ? this
                : new ShardOwnership(
                        highestEpochNumber, unownedSinceMillis, backoffUntilMillis, owner, 0);
    }

    /** Returns this view of a shard without a live owner. */
    public ShardOwnership withoutLiveOwner(long nowMillis) {
        return unownedSinceMillis == OWNED
                ? new ShardOwnership(
                        highestEpochNumber, nowMillis, backoffUntilMillis, owner, losses)
                : this;
    }

    /**
     * Returns this view after this entry lost the shard; the time to wait doubles with each loss.
     */
    public ShardOwnership afterLoss(long nowMillis) {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(losses, MAX_BACKOFF_DOUBLINGS);
        return new ShardOwnership(
                highestEpochNumber, OWNED, nowMillis + backoffMillis, owner, losses + 1);
    }
}
