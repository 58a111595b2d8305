package org.jujubefork.core.model;

import org.pcollections.PVector;

/** Operations on bounded sequences of samples, ordered from the oldest to the newest. */
public final class Samples {
    private Samples() {}

    /**
     * Returns {@code samples} with {@code newest} added, without the oldest sample if there were
     * {@code maxCount} already.
     */
    public static <T> PVector<T> append(PVector<T> samples, T newest, int maxCount) {
        PVector<T> retained = samples.size() < maxCount ? samples : samples.minus(0);
        return retained.plus(newest);
    }

    /**
     * Returns the index of a percentile among {@code count} sorted values, by the nearest-rank
     * method.
     *
     * @param fraction the percentile as a fraction, above 0 and at most 1
     * @param count the number of values, at least 1
     */
    public static int percentileIndex(double fraction, int count) {
        return (int) Math.ceil(fraction * count) - 1;
    }
}
