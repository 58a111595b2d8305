package org.jujubefork.core.workflow;

import java.util.Arrays;

/**
 * A histogram of the expected remaining times of running tasks, weighted by their CPU capacity. Its
 * bounds grow by a constant factor, so that the number of buckets does not depend on how long tasks
 * run. Immutable.
 */
final class RemainingTimes {
    /** No task runs. */
    static final RemainingTimes NONE = new Builder().build();

    private static final double FIRST_BOUND_MILLIS = 100;

    /** Ratio of successive bounds. With it the last bound is about three hours. */
    private static final double BOUND_RATIO = 1.2;

    private static final int BOUND_COUNT = 66;

    /** The capacity in millicores whose tasks end by each bound, as a fraction of all. */
    private final double[] endedFractions;

    private final long totalMillicores;

    private RemainingTimes(double[] endedFractions, long totalMillicores) {
        this.endedFractions = endedFractions;
        this.totalMillicores = totalMillicores;
    }

    /** Returns the number of bounds. */
    static int boundCount() {
        return BOUND_COUNT;
    }

    /** Returns a bound in milliseconds; the bound with index 0 is 0. */
    static double boundMillis(int index) {
        return Bounds.MILLIS[index];
    }

    /** Returns the fraction of the used capacity that is free again at the bound. */
    double endedFraction(int index) {
        return endedFractions[index];
    }

    /** Returns the capacity of all tasks, in millicores. */
    long totalMillicores() {
        return totalMillicores;
    }

    /** The bounds; a class of its own, because {@link #NONE} needs their number first. */
    private static final class Bounds {
        private static final double[] MILLIS = new double[BOUND_COUNT];

        static {
            for (int i = 1; i < BOUND_COUNT; i++) {
                MILLIS[i] = FIRST_BOUND_MILLIS * Math.pow(BOUND_RATIO, i - 1);
            }
        }

        private Bounds() {}
    }

    /** Collects running tasks. */
    static final class Builder {
        private final double[] endingMillicores = new double[BOUND_COUNT];
        private double totalMillicores;

        /** Adds a task that is expected to end after {@code remainingMillis}. */
        void add(long remainingMillis, long millicores) {
            addEndless(millicores);
            int position = Arrays.binarySearch(Bounds.MILLIS, remainingMillis);
            int index = position < 0 ? -position - 1 : position;
            if (index < BOUND_COUNT) {
                endingMillicores[Math.max(1, index)] += millicores;
            }
        }

        /** Adds a task whose end is not foreseeable. */
        void addEndless(long millicores) {
            totalMillicores += millicores;
        }

        RemainingTimes build() {
            double[] fractions = new double[BOUND_COUNT];
            double ended = 0;
            for (int i = 0; i < BOUND_COUNT; i++) {
                ended += endingMillicores[i];
                // Without tasks, capacity that tasks started since then use counts as ending soon.
                fractions[i] = totalMillicores == 0 ? (i == 0 ? 0 : 1) : ended / totalMillicores;
            }
            return new RemainingTimes(fractions, Math.round(totalMillicores));
        }
    }
}
