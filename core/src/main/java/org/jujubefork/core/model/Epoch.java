package org.jujubefork.core.model;

import java.util.Comparator;

/**
 * Fencing token of the owner of a shard: a worker refuses commands whose epoch is lower than the
 * highest epoch that the worker has accepted.
 *
 * <p>Epochs are ordered by number and then by holder. If two entries claim a shard with the same
 * number, every worker accepts the same one of the two entries as the owner.
 *
 * @param number increases with each change of owner; 0 means that the shard never had an owner
 * @param holder the incarnation of the entry that owns the shard under this epoch
 */
public record Epoch(long number, EntryId holder) implements Comparable<Epoch> {
    private static final Comparator<Epoch> ORDER =
            Comparator.comparingLong(Epoch::number).thenComparing(Epoch::holder);

    /** Checks that the number is not negative. */
    public Epoch {
        if (number < 0) {
            throw new IllegalArgumentException("epoch number must not be negative: " + number);
        }
    }

    /** Returns the epoch {@code number} of {@code holder}. */
    public static Epoch of(long number, EntryId holder) {
        return new Epoch(number, holder);
    }

    /** Returns whether this epoch is higher than {@code other}. */
    public boolean isAbove(Epoch other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Epoch other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return number + "@" + holder;
    }
}
