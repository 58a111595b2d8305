package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;

/**
 * The local view of the ownership of one shard.
 *
 * @param highestEpochNumber the highest epoch number observed; 0 if no epoch was observed
 * @param unownedSinceMillis since when no live owner is known; {@link #OWNED} if a live owner is
 *     known
 * @param backoffUntilMillis the end of the back-off after this entry lost the shard; the entry does
 *     not claim the shard before this time
 * @param owner name and incarnation of the entry last known to own the shard; empty if no owner was
 *     known
 * @param lossCount the number of consecutive losses of the shard to another entry; reset after this
 *     entry has owned the shard for a stable period
 */
public record ShardOwnership(
        long highestEpochNumber,
        long unownedSinceMillis,
        long backoffUntilMillis,
        Optional<EntryId> owner,
        int lossCount) {
    /** Value of {@link #unownedSinceMillis()} for a shard with a live owner. */
    public static final long OWNED = Long.MAX_VALUE;

    /**
     * The ownership of a shard about which nothing is known. The shard counts as owned, so that the
     * claim delay starts only when this entry first finds that the shard has no live owner.
     */
    public static final ShardOwnership UNKNOWN =
            new ShardOwnership(0, OWNED, Long.MIN_VALUE / 2, Optional.empty(), 0);

    private static final long INITIAL_BACKOFF_MILLIS = 2_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /**
     * Returns this ownership with the highest epoch number raised to {@code number} if the recorded
     * number is lower.
     */
    public ShardOwnership withEpochNumber(long number) {
        return number <= highestEpochNumber
                ? this
                : new ShardOwnership(
                        number, unownedSinceMillis, backoffUntilMillis, owner, lossCount);
    }

    /** Returns this ownership with {@code holder} as the live owner. */
    public ShardOwnership withOwner(EntryId holder) {
        Optional<EntryId> newOwner = Optional.of(holder);
        ShardOwnership owned = withLiveOwner();
        return newOwner.equals(owner)
                ? owned
                : new ShardOwnership(
                        highestEpochNumber, OWNED, backoffUntilMillis, newOwner, lossCount);
    }

    /** Returns this ownership with the shard marked as owned by a live entry. */
    public ShardOwnership withLiveOwner() {
        return unownedSinceMillis == OWNED
                ? this
                : new ShardOwnership(
                        highestEpochNumber, OWNED, backoffUntilMillis, owner, lossCount);
    }

    /**
     * Returns this ownership with a loss count of zero, so that the next back-off has its initial
     * duration.
     */
    public ShardOwnership withLossesReset() {
        return lossCount == 0
                ? this
                : new ShardOwnership(
                        highestEpochNumber, unownedSinceMillis, backoffUntilMillis, owner, 0);
    }

    /**
     * Returns this ownership with the shard marked as unowned since {@code nowMillis}; unchanged if
     * the shard was already marked as unowned.
     */
    public ShardOwnership withoutLiveOwner(long nowMillis) {
        return unownedSinceMillis == OWNED
                ? new ShardOwnership(
                        highestEpochNumber, nowMillis, backoffUntilMillis, owner, lossCount)
                : this;
    }

    /**
     * Returns this ownership after this entry lost the shard. The back-off doubles with each
     * consecutive loss up to {@link #MAX_BACKOFF_DOUBLINGS} times.
     */
    public ShardOwnership afterLoss(long nowMillis) {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(lossCount, MAX_BACKOFF_DOUBLINGS);
        return new ShardOwnership(
                highestEpochNumber, OWNED, nowMillis + backoffMillis, owner, lossCount + 1);
    }
}
