package org.jujubefork.core.workflow;

import java.util.Optional;
import org.jujubefork.core.model.Samples;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The newest runs of one queue and the relation between their estimates and durations.
 *
 * @param count the number of runs that were observed, also those that are not retained
 * @param samples the runs, from the oldest to the newest
 * @param fit the relation, empty while there are too few runs
 */
public record QueueDurations(long count, PVector<Sample> samples, Optional<DurationFit> fit) {
    /** Number of runs that are retained, so that predictions follow changes of a queue. */
    static final int MAX_SAMPLE_COUNT = 96;

    /**
     * Number of runs below which the declared estimate is used, because the correlation of fewer
     * runs is unreliable.
     */
    static final int MIN_SAMPLE_COUNT = 8;

    /**
     * Number of runs between two computations of the fit once all samples are retained. One run of
     * so many hardly changes it, and a computation costs as much as many other events.
     */
    private static final int REFIT_INTERVAL = 4;

    /** No run was observed yet. */
    static final QueueDurations UNKNOWN =
            new QueueDurations(0, TreePVector.empty(), Optional.empty());

    /**
     * A run that ended successfully.
     *
     * @param estimateMillis the duration that the caller has declared
     * @param actualMillis how long the run took
     */
    public record Sample(long estimateMillis, long actualMillis) {
        /** Checks that both times are positive. */
        public Sample {
            if (estimateMillis <= 0 || actualMillis <= 0) {
                throw new IllegalArgumentException(
                        "times must be positive: " + estimateMillis + ", " + actualMillis);
            }
        }
    }

    /** Returns a copy with a further run. */
    QueueDurations with(long estimateMillis, long actualMillis) {
        PVector<Sample> all =
                Samples.append(samples, new Sample(estimateMillis, actualMillis), MAX_SAMPLE_COUNT);
        long newCount = count + 1;
        boolean isCurrent = newCount > MAX_SAMPLE_COUNT && newCount % REFIT_INTERVAL != 0;
        if (all.size() < MIN_SAMPLE_COUNT || isCurrent) {
            return new QueueDurations(newCount, all, fit);
        }
        return new QueueDurations(newCount, all, Optional.of(DurationFit.of(all)));
    }
}
