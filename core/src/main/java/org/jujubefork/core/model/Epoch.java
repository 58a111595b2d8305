package org.jujubefork.core.model;

import java.util.Comparator;

/**
 * Authority over a worker: the worker refuses commands that carry a lower epoch than the one that
 * it keeps.
 *
 * <p>Epochs are ordered by number and then by holder, so that of two entries that claim the same
 * number one wins at every worker.
 *
 * @param number grows with each change of owner; 0 means that nobody has owned the worker
 * @param holder the entry run that owns the worker under this epoch
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
