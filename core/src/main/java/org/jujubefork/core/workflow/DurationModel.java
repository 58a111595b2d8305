package org.jujubefork.core.workflow;

/** Predicts how long a task runs. */
@FunctionalInterface
interface DurationModel {
    /**
     * Returns the expected duration of a task in milliseconds.
     *
     * @param learned what was learned from runs that have ended
     * @param queue the name of the queue
     * @param estimateMillis the duration that the caller has declared, 0 for none
     */
    long expectedMillis(LearnedDurations learned, String queue, long estimateMillis);
}
