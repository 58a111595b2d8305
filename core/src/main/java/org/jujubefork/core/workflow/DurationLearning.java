package org.jujubefork.core.workflow;

/** Learns from a run that has ended successfully. */
@FunctionalInterface
interface DurationLearning {
    /**
     * Returns {@code learned} with a further sample.
     *
     * @param learned what was learned so far
     * @param queue the name of the queue
     * @param estimateMillis the duration that the caller has declared, 0 for none
     * @param actualMillis how long the run took
     */
    LearnedDurations learn(
            LearnedDurations learned, String queue, long estimateMillis, long actualMillis);
}
