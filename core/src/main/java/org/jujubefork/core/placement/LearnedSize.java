package org.jujubefork.core.placement;

import java.util.function.ToLongFunction;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.Samples;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The usage of tasks of one queue relative to their declared sizes. Tasks of one queue may declare
 * very different sizes, so ratios are stored instead of amounts.
 *
 * @param peaks the most recent peak usages of tasks, in thousandths of the declared size
 * @param estimate the 90th percentile of the peaks, in the same unit
 */
public record LearnedSize(PVector<Resources> peaks, Resources estimate) {
    /**
     * Number of peaks that are retained; older peaks are dropped, so that the estimate follows
     * changes.
     */
    static final int MAX_PEAK_COUNT = 50;

    /**
     * Number of peaks below which the declared size is used, because fewer peaks give no reliable
     * 90th percentile.
     */
    static final int MIN_PEAK_COUNT = 5;

    private static final double PERCENTILE_FRACTION = 0.9;

    /** Safety margin, because reports lag by seconds, in which usage may still grow. */
    private static final double MARGIN_FACTOR = 1.1;

    /** Lower bound of the learned size as a fraction of the declared size. */
    private static final double MIN_DECLARED_FRACTION = 0.5;

    /** The declared size in thousandths of itself, the unit of the peaks. */
    private static final long DECLARED_PERMILLE = 1_000;

    /** The learned size before any task was observed. */
    public static final LearnedSize UNKNOWN = new LearnedSize(TreePVector.empty(), Resources.ZERO);

    /** Returns this learned size with the peak usage of one more task added. */
    public LearnedSize plus(Resources used, Resources declared) {
        Resources peak =
                new Resources(
                        permilleOfDeclared(used.cpuMillis(), declared.cpuMillis()),
                        permilleOfDeclared(used.memoryMb(), declared.memoryMb()),
                        permilleOfDeclared(used.accelerators(), declared.accelerators()));
        if (peaks.size() == MAX_PEAK_COUNT && peaks.get(0).equals(peak)) {
            return new LearnedSize(peaks.minus(0).plus(peak), estimate);
        }
        PVector<Resources> all = Samples.append(peaks, peak, MAX_PEAK_COUNT);
        return new LearnedSize(
                all,
                new Resources(
                        percentile(all, Resources::cpuMillis),
                        percentile(all, Resources::memoryMb),
                        percentile(all, Resources::accelerators)));
    }

    /** Returns the expected size of a task that declares {@code declared}. */
    public Resources sizeFor(Resources declared) {
        return peaks.size() < MIN_PEAK_COUNT
                ? declared
                : new Resources(
                        expected(estimate.cpuMillis(), declared.cpuMillis(), MARGIN_FACTOR),
                        expected(estimate.memoryMb(), declared.memoryMb(), MARGIN_FACTOR),
                        // Accelerators are allocated whole, so a margin would add one that no task
                        // uses.
                        expected(estimate.accelerators(), declared.accelerators(), 1));
    }

    /**
     * Returns {@code used} in thousandths of {@code declared}. A component that is not declared
     * counts as used in full, so that it does not change the learned size.
     */
    private static long permilleOfDeclared(long used, long declared) {
        return declared == 0 ? DECLARED_PERMILLE : Math.ceilDiv(used * DECLARED_PERMILLE, declared);
    }

    /**
     * Returns the percentile plus the margin. The margin does not raise it above the declared size,
     * because tasks that use exactly what they declare would otherwise be packed less densely than
     * by declared sizes.
     */
    private static long expected(long peakPermille, long declared, double marginFactor) {
        double padded =
                Math.max(MIN_DECLARED_FRACTION * DECLARED_PERMILLE, peakPermille * marginFactor);
        double limited =
                peakPermille <= DECLARED_PERMILLE ? Math.min(padded, DECLARED_PERMILLE) : padded;
        return (long) Math.ceil(declared * limited / DECLARED_PERMILLE);
    }

    private static long percentile(PVector<Resources> all, ToLongFunction<Resources> component) {
        long[] sorted = all.stream().mapToLong(component).sorted().toArray();
        return sorted[Samples.percentileIndex(PERCENTILE_FRACTION, sorted.length)];
    }
}
