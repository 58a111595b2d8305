package org.jujubefork.core.workflow;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.jujubefork.core.model.Samples;
import org.jujubefork.core.workflow.QueueDurations.Sample;

/**
 * The relation between declared estimates and durations in one queue: a least-squares line through
 * the logarithms of both. Logarithms, because the errors of estimates are factors. The slope of the
 * line is the weight of the estimate: near 1 where estimates predict well, near 0 where the typical
 * duration of the queue predicts better. Immutable.
 */
public final class DurationFit {
    /**
     * Weight of a sample relative to that of the next newer one. The newest 35 of all samples have
     * half of the weight.
     */
    private static final double DECAY_FACTOR = 0.98;

    /**
     * Fraction of the samples that determine the slope. The others, which exceed the prediction
     * most, belong to tasks that take several times as long as usual.
     */
    private static final double RETAINED_FRACTION = 0.94;

    private static final int TRIMMING_ROUND_COUNT = 2;

    /**
     * Squared deviation of a prior sample at slope 1. It makes a queue whose estimates hardly vary
     * use the ratio of durations to estimates.
     */
    private static final double PRIOR_SQUARES = 0.2;

    /** Maximum factor between an estimate and the typical duration that is predicted from it. */
    private static final double MAX_CORRECTION_FACTOR = 16;

    /** Maximum ratio of a duration to its prediction that counts in the mean ratio. */
    private static final double MAX_MEAN_RATIO = 10;

    /**
     * Remaining time of a task that has run for longer than nearly all others, as a fraction of the
     * time that it has run. Such tasks take several times as long as usual.
     */
    private static final double RUN_ON_FRACTION = 0.5;

    /**
     * Maximum remaining time of such a task relative to the typical duration. The time that it has
     * run is not known exactly.
     */
    private static final double MAX_RUN_ON_RATIO = 3;

    /** Number of longer samples below which {@link #RUN_ON_FRACTION} is used. */
    private static final int MIN_LONGER_COUNT = 2;

    /** The weights of the samples by age, the newest first. */
    private static final double[] WEIGHTS_BY_AGE = new double[QueueDurations.MAX_SAMPLE_COUNT];

    static {
        Arrays.setAll(WEIGHTS_BY_AGE, age -> Math.pow(DECAY_FACTOR, age));
    }

    private final double slope;
    private final double intercept;
    private final double meanLogEstimate;
    private final double meanRatio;

    /** The ratios of the durations to their predictions, ascending. */
    private final double[] ratios;

    private DurationFit(
            double slope, double intercept, double meanLogEstimate, double[] logRatios) {
        this.slope = slope;
        this.intercept = intercept;
        this.meanLogEstimate = meanLogEstimate;
        this.ratios = Arrays.stream(logRatios).map(Math::exp).sorted().toArray();
        this.meanRatio =
                Arrays.stream(ratios).map(r -> Math.min(r, MAX_MEAN_RATIO)).average().orElse(1);
    }

    /**
     * Returns the fit of {@code samples}, from the oldest to the newest, at least one and at most
     * {@link QueueDurations#MAX_SAMPLE_COUNT}.
     */
    static DurationFit of(List<Sample> samples) {
        Points points = Points.of(samples);
        double[] weights = points.weights().clone();
        Line line = Line.through(points, weights);
        for (int i = 0; i < TRIMMING_ROUND_COUNT; i++) {
            double[] residuals = points.residuals(line);
            double[] sorted = Arrays.stream(residuals).sorted().toArray();
            double limit = sorted[Samples.percentileIndex(RETAINED_FRACTION, sorted.length)];
            Arrays.setAll(weights, j -> residuals[j] <= limit ? points.weights()[j] : 0);
            line = Line.through(points, weights);
        }
        // The median of all samples is more robust than the intercept of the line.
        double[] residuals = points.residuals(line);
        double shift = weightedMedian(residuals, points.weights());
        double[] logRatios = Arrays.stream(residuals).map(r -> r - shift).toArray();
        return new DurationFit(line.slope(), line.intercept() + shift, line.meanX(), logRatios);
    }

    private static double weightedMedian(double[] values, double[] weights) {
        int[] order =
                IntStream.range(0, values.length)
                        .boxed()
                        .sorted(Comparator.comparingDouble(i -> values[i]))
                        .mapToInt(i -> i)
                        .toArray();
        double half = Arrays.stream(weights).sum() / 2;
        double sum = 0;
        for (int i : order) {
            sum += weights[i];
            if (sum >= half) {
                return values[i];
            }
        }
        return values[order[order.length - 1]];
    }

    /** Returns the typical duration in milliseconds of a task with a positive estimate. */
    private double typicalMillis(long estimateMillis) {
        double millis = Math.exp(intercept + slope * Math.log(estimateMillis));
        return Math.clamp(
                millis,
                estimateMillis / MAX_CORRECTION_FACTOR,
                estimateMillis * MAX_CORRECTION_FACTOR);
    }

    /**
     * Returns the typical time in milliseconds, at least 1, until a task ends that has run for
     * {@code elapsedMillis}: the median of the samples that took longer.
     *
     * @param estimateMillis the declared duration, positive
     */
    long remainingMillis(long estimateMillis, long elapsedMillis) {
        double typicalMillis = typicalMillis(estimateMillis);
        if (elapsedMillis <= 0) {
            return Math.max(1, Math.round(typicalMillis));
        }
        double elapsedRatio = elapsedMillis / typicalMillis;
        int position = Arrays.binarySearch(ratios, elapsedRatio);
        int firstLonger = position < 0 ? -position - 1 : position + 1;
        int longerCount = ratios.length - firstLonger;
        double remaining =
                longerCount < MIN_LONGER_COUNT
                        ? Math.min(
                                elapsedMillis * RUN_ON_FRACTION, typicalMillis * MAX_RUN_ON_RATIO)
                        : (ratios[firstLonger + longerCount / 2] - elapsedRatio) * typicalMillis;
        return Math.max(1, Math.round(remaining));
    }

    /** Returns the mean duration relative to the typical one. */
    double meanRatio() {
        return meanRatio;
    }

    /** Returns the typical duration of a task with the typical estimate, relative to it. */
    double factor() {
        return Math.exp(intercept + (slope - 1) * meanLogEstimate);
    }

    /** Returns how far the estimates predict the durations, from 0 to 1. */
    double estimateWeight() {
        return slope;
    }

    /** Samples as points of the logarithms of estimate and duration. */
    private record Points(double[] x, double[] y, double[] weights) {
        static Points of(List<Sample> samples) {
            double[] x = new double[samples.size()];
            double[] y = new double[x.length];
            double[] weights = new double[x.length];
            int i = 0;
            for (Sample sample : samples) {
                x[i] = Math.log(sample.estimateMillis());
                y[i] = Math.log(sample.actualMillis());
                weights[i] = WEIGHTS_BY_AGE[x.length - 1 - i];
                i++;
            }
            return new Points(x, y, weights);
        }

        double[] residuals(Line line) {
            double[] residuals = new double[x.length];
            Arrays.setAll(residuals, i -> y[i] - line.intercept() - line.slope() * x[i]);
            return residuals;
        }
    }

    /** A line with a slope from 0 to 1. */
    private record Line(double slope, double intercept, double meanX) {
        static Line through(Points points, double[] weights) {
            double weightSum = Arrays.stream(weights).sum();
            double meanX = mean(points.x(), weights, weightSum);
            double meanY = mean(points.y(), weights, weightSum);
            double squares = PRIOR_SQUARES;
            double products = PRIOR_SQUARES;
            for (int i = 0; i < weights.length; i++) {
                double deviation = points.x()[i] - meanX;
                squares += weights[i] * deviation * deviation;
                products += weights[i] * deviation * (points.y()[i] - meanY);
            }
            double slope = Math.clamp(products / squares, 0.0, 1.0);
            return new Line(slope, meanY - slope * meanX, meanX);
        }

        private static double mean(double[] values, double[] weights, double weightSum) {
            double sum = 0;
            for (int i = 0; i < values.length; i++) {
                sum += weights[i] * values[i];
            }
            return sum / weightSum;
        }
    }
}
