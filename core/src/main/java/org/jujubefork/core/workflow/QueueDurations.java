package org.jujubefork.core.workflow;

import java.util.Optional;
import org.jujubefork.core.model.Samples;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The newest runs of one queue and the relation between their estimates and durations.
 *
 * @param samples the runs, from the oldest to the newest
 * @param fit the relation, empty while there are too few runs
 */
public record QueueDurations(PVector<Sample> samples, Optional<DurationFit> fit) {
    /** Number of runs that are retained, so that predictions follow changes of a queue. */
    static final int MAX_SAMPLE_COUNT = 96;

    /**
     * Number of runs below which the declared estimate is used, because the correlation of fewer
     * runs is unreliable.
     */
    static final int MIN_SAMPLE_COUNT = 8;

    /** No run was observed yet. */
    static final QueueDurations UNKNOWN = new QueueDurations(TreePVector.empty(), Optional.empty());

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
        return new QueueDurations(
                all,
                all.size() < MIN_SAMPLE_COUNT
                        ? Optional.empty()
                        : Optional.of(DurationFit.of(all)));
    }
}
