package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;

/**
 * What an entry knows about the ownership of one shard.
 *
 * @param highestNumber the highest epoch number seen
 * @param vacantSinceMillis since when no live owner is known; {@link #OWNED} if there is one
 * @param backoffUntilMillis until when this entry leaves the shard alone after it lost it
 * @param owner the run that was last known to own it
 * @param losses how often in a row this entry lost the shard to another entry
 */
public record ShardView(
        long highestNumber,
        long vacantSinceMillis,
        long backoffUntilMillis,
        Optional<EntryId> owner,
        int losses) {
    /** Stands for a shard with a live owner. */
    public static final long OWNED = Long.MAX_VALUE;

    /** Nothing is known of the shard. */
    public static final ShardView UNKNOWN =
            new ShardView(0, OWNED, Long.MIN_VALUE / 2, Optional.empty(), 0);

    private static final long FIRST_BACKOFF_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 5;

    /** Returns this view with at least {@code number} as the highest epoch number. */
    public ShardView seen(long number) {
        return number <= highestNumber
                ? this
                : new ShardView(number, vacantSinceMillis, backoffUntilMillis, owner, losses);
    }

    /** Returns this view of a shard that {@code by} owns. */
    public ShardView ownedBy(EntryId by) {
        Optional<EntryId> now = Optional.of(by);
        ShardView view = owned();
        return now.equals(owner)
                ? view
                : new ShardView(highestNumber, OWNED, backoffUntilMillis, now, losses);
    }

    /** Returns this view of a shard with a live owner. */
    public ShardView owned() {
        return vacantSinceMillis == OWNED
                ? this
                : new ShardView(highestNumber, OWNED, backoffUntilMillis, owner, losses);
    }

    /** Returns this view of a shard that this entry has held without being outranked for long. */
    public ShardView held() {
        return losses == 0
                ? this
                : new ShardView(highestNumber, vacantSinceMillis, backoffUntilMillis, owner, 0);
    }

    /** Returns this view of a shard without a live owner. */
    public ShardView vacant(long nowMillis) {
        return vacantSinceMillis == OWNED
                ? new ShardView(highestNumber, nowMillis, backoffUntilMillis, owner, losses)
                : this;
    }

    /**
     * Returns this view after this entry lost the shard; the time to wait doubles with each loss.
     */
    public ShardView lost(long nowMillis) {
        long wait = FIRST_BACKOFF_MILLIS << Math.min(losses, MAX_DOUBLINGS);
        return new ShardView(highestNumber, OWNED, nowMillis + wait, owner, losses + 1);
    }
}
