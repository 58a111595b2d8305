package org.jujubefork.core.placement;

import java.util.function.ToLongFunction;
import org.jujubefork.core.model.Resources;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What tasks of one queue use by experience.
 *
 * @param peaks the newest peak usages of tasks
 * @param estimate the 90th percentile of the peaks with margin
 */
public record LearnedSize(PVector<Resources> peaks, Resources estimate) {
    /** Peaks that are kept; older ones no longer count, so that the estimate follows changes. */
    static final int KEPT_PEAKS = 50;

    /** Peaks below which the declared size is used; fewer say little about a 90th percentile. */
    static final int ENOUGH_PEAKS = 5;

    private static final double PERCENTILE = 0.9;

    /** Reports lag by seconds, in which usage may still grow. */
    private static final double MARGIN = 1.1;

    /** Sizes are not reduced below this part of the declared size. */
    private static final double SMALLEST_PART = 0.5;

    /** Nothing is known. */
    public static final LearnedSize UNKNOWN = new LearnedSize(TreePVector.empty(), Resources.ZERO);

    /** Returns this with the peak usage of one more task. */
    public LearnedSize plus(Resources peak) {
        if (peaks.size() == KEPT_PEAKS && peaks.get(0).equals(peak)) {
            return new LearnedSize(peaks.minus(0).plus(peak), estimate);
        }
        PVector<Resources> kept = peaks.size() < KEPT_PEAKS ? peaks : peaks.minus(0);
        PVector<Resources> all = kept.plus(peak);
        return new LearnedSize(
                all,
                new Resources(
                        percentile(all, Resources::cpuMillis),
                        percentile(all, Resources::memoryMb),
                        percentile(all, Resources::accelerators)));
    }

    /** Returns the size to expect of a task that declares {@code declared}. */
    public Resources of(Resources declared) {
        if (peaks.size() < ENOUGH_PEAKS) {
            return declared;
        }
        return new Resources(
                        withMargin(estimate.cpuMillis(), declared.cpuMillis()),
                        withMargin(estimate.memoryMb(), declared.memoryMb()),
                        // Accelerators are held whole, so a margin would ask for one that no task
                        // uses.
                        estimate.accelerators())
                .max(declared.scaled(SMALLEST_PART));
    }

    /**
     * Returns the percentile with margin. The margin does not lift it above the declared size, or
     * tasks that use exactly what they declare would be packed less densely than declared.
     */
    private static long withMargin(long used, long declared) {
        long padded = (long) Math.ceil(used * MARGIN);
        return used <= declared ? Math.min(padded, declared) : padded;
    }

    private static long percentile(PVector<Resources> all, ToLongFunction<Resources> component) {
        long[] sorted = all.stream().mapToLong(component).sorted().toArray();
        return sorted[(int) Math.ceil(PERCENTILE * sorted.length) - 1];
    }
}
