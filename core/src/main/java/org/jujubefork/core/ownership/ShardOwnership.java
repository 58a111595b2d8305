package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;

/**
 * The local view of the ownership of one shard.
 *
 * @param highestEpochNumber the highest epoch number observed; 0 if none
 * @param unownedSinceMillis since when no live owner is known; {@link #OWNED} if there is one
 * @param backoffUntilMillis the time before which this entry does not claim the shard again after
 *     it lost it
 * @param owner the entry and incarnation last known to own the shard; empty if none
 * @param lossCount the number of times in a row that this entry has lost the shard to another entry
 */
public record ShardOwnership(
        long highestEpochNumber,
        long unownedSinceMillis,
        long backoffUntilMillis,
        Optional<EntryId> owner,
        int lossCount) {
    /** Value of {@link #unownedSinceMillis()} for a shard with a live owner. */
    public static final long OWNED = Long.MAX_VALUE;

    /** The ownership of a shard of which nothing is known. */
    public static final ShardOwnership UNKNOWN =
            new ShardOwnership(0, OWNED, Long.MIN_VALUE / 2, Optional.empty(), 0);

    private static final long INITIAL_BACKOFF_MILLIS = 2_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** Returns this with at least {@code number} as the highest epoch number. */
    public ShardOwnership withEpochNumber(long number) {
        return number <= highestEpochNumber
                ? this
                : new ShardOwnership(
                        number, unownedSinceMillis, backoffUntilMillis, owner, lossCount);
    }

    /** Returns this with {@code holder} as the live owner. */
    public ShardOwnership withOwner(EntryId holder) {
        Optional<EntryId> newOwner = Optional.of(holder);
        ShardOwnership owned = withLiveOwner();
        return newOwner.equals(owner)
                ? owned
                : new ShardOwnership(
                        highestEpochNumber, OWNED, backoffUntilMillis, newOwner, lossCount);
    }

    /** Returns this with the shard marked as owned by a live entry. */
    public ShardOwnership withLiveOwner() {
        return unownedSinceMillis == OWNED
                ? this
                : new ShardOwnership(
                        highestEpochNumber, OWNED, backoffUntilMillis, owner, lossCount);
    }

    /** Returns this without losses, after this entry has owned the shard for a stable period. */
    public ShardOwnership withLossesReset() {
        return lossCount == 0
                ? this
                : new ShardOwnership(
                        highestEpochNumber, unownedSinceMillis, backoffUntilMillis, owner, 0);
    }

    /** Returns this with the shard marked as unowned, since {@code nowMillis} if it was owned. */
    public ShardOwnership withoutLiveOwner(long nowMillis) {
        return unownedSinceMillis == OWNED
                ? new ShardOwnership(
                        highestEpochNumber, nowMillis, backoffUntilMillis, owner, lossCount)
                : this;
    }

    /**
     * Returns this after this entry lost the shard. The back-off doubles with each consecutive loss
     * up to {@link #MAX_BACKOFF_DOUBLINGS} times.
     */
    public ShardOwnership afterLoss(long nowMillis) {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(lossCount, MAX_BACKOFF_DOUBLINGS);
        return new ShardOwnership(
                highestEpochNumber, OWNED, nowMillis + backoffMillis, owner, lossCount + 1);
    }
}
