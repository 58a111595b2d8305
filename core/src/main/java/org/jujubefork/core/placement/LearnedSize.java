package org.jujubefork.core.placement;

import java.util.function.ToLongFunction;
import org.jujubefork.core.model.Resources;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What tasks of one queue use of what they declare, by experience. Tasks of one queue may declare
 * very different sizes, so the parts are kept and not the amounts.
 *
 * @param peaks the newest peak usages of tasks, in thousandths of the declared sizes
 * @param estimate the 90th percentile of the peaks
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

    /** The declared size in the unit of the peaks. */
    private static final long WHOLE = 1_000;

    /** Nothing is known. */
    public static final LearnedSize UNKNOWN = new LearnedSize(TreePVector.empty(), Resources.ZERO);

    /** Returns this with the peak usage of one more task. */
    public LearnedSize plus(Resources used, Resources declared) {
        Resources peak =
                new Resources(
                        part(used.cpuMillis(), declared.cpuMillis()),
                        part(used.memoryMb(), declared.memoryMb()),
                        part(used.accelerators(), declared.accelerators()));
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
        return peaks.size() < ENOUGH_PEAKS
                ? declared
                : new Resources(
                        expected(estimate.cpuMillis(), declared.cpuMillis(), MARGIN),
                        expected(estimate.memoryMb(), declared.memoryMb(), MARGIN),
                        // Accelerators are held whole, so a margin would ask for one that no task
                        // uses.
                        expected(estimate.accelerators(), declared.accelerators(), 1));
    }

    /** Returns the part used in thousandths; a component that is not declared is left out. */
    private static long part(long used, long declared) {
        return declared == 0 ? WHOLE : Math.ceilDiv(used * WHOLE, declared);
    }

    /**
     * Returns the percentile with margin. The margin does not lift it above the declared size, or
     * tasks that use exactly what they declare would be packed less densely than declared.
     */
    private static long expected(long part, long declared, double margin) {
        double padded = Math.max(SMALLEST_PART * WHOLE, part * margin);
        double limited = part <= WHOLE ? Math.min(padded, WHOLE) : padded;
        return (long) Math.ceil(declared * limited / WHOLE);
    }

    private static long percentile(PVector<Resources> all, ToLongFunction<Resources> component) {
        long[] sorted = all.stream().mapToLong(component).sorted().toArray();
        return sorted[(int) Math.ceil(PERCENTILE * sorted.length) - 1];
    }
}
