package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How long the tasks of each queue really take, learned from runs that have ended. The leader keeps
 * it in memory; a new leader learns it again.
 *
 * @param queues the samples of each queue, by name
 */
public record LearnedDurations(PMap<String, QueueDurations> queues) {
    /** Nothing was learned yet. */
    public static final LearnedDurations NONE = new LearnedDurations(HashTreePMap.empty());

    /**
     * Returns a copy with a further run, unchanged if one of the times is not positive.
     *
     * @param queue the name of the queue
     * @param estimateMillis the duration that the caller has declared
     * @param actualMillis how long the run took
     */
    public LearnedDurations with(String queue, long estimateMillis, long actualMillis) {
        if (estimateMillis <= 0 || actualMillis <= 0) {
            return this;
        }
        QueueDurations samples = queues.getOrDefault(queue, QueueDurations.UNKNOWN);
        return new LearnedDurations(queues.plus(queue, samples.with(estimateMillis, actualMillis)));
    }

    /** Returns whether there are enough samples of {@code queue} to replace declared estimates. */
    boolean isLearned(String queue) {
        return queues.getOrDefault(queue, QueueDurations.UNKNOWN).fit().isPresent();
    }

    /**
     * Returns the typical duration of a task in milliseconds, which is the declared one if it is 0
     * or the queue has too few samples.
     */
    long expectedMillis(String queue, long estimateMillis) {
        return remainingMillis(queue, estimateMillis, 0);
    }

    /**
     * Returns the typical time in milliseconds until a task ends that has run for {@code
     * elapsedMillis}. It is positive if the queue is learned. Otherwise it is the rest of the
     * declared estimate, negative if the task has exceeded it.
     */
    long remainingMillis(String queue, long estimateMillis, long elapsedMillis) {
        QueueDurations samples = queues.get(queue);
        return samples == null || samples.fit().isEmpty() || estimateMillis <= 0
                ? estimateMillis - elapsedMillis
                : samples.fit().get().remainingMillis(estimateMillis, elapsedMillis);
    }

    /**
     * Returns the mean duration of the tasks of {@code queue} relative to their typical duration.
     * It exceeds 1 if some tasks take much longer than most; 1 if the queue is not learned.
     */
    double meanRatio(String queue) {
        QueueDurations samples = queues.get(queue);
        return samples == null ? 1 : samples.fit().map(DurationFit::meanRatio).orElse(1.0);
    }

    /**
     * Returns the typical duration of the tasks of each learned queue relative to their typical
     * estimate, by queue.
     */
    public Map<String, Double> factors() {
        Map<String, Double> factors = new HashMap<>();
        queues.forEach((q, s) -> s.fit().ifPresent(f -> factors.put(q, f.factor())));
        return factors;
    }

    /**
     * Returns how far the estimates of each learned queue predict the durations, by queue: 1 if the
     * duration is proportional to the estimate, 0 if it does not depend on the estimate.
     */
    public Map<String, Double> estimateWeights() {
        Map<String, Double> weights = new HashMap<>();
        queues.forEach((q, s) -> s.fit().ifPresent(f -> weights.put(q, f.estimateWeight())));
        return weights;
    }
}
