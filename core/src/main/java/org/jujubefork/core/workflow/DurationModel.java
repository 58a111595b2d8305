package org.jujubefork.core.workflow;

/** Predicts how long a task runs. */
@FunctionalInterface
interface DurationModel {
    /**
     * Returns the expected time until a task ends, in milliseconds. It may be negative if the task
     * has run for longer than expected.
     *
     * @param learned what was learned from runs that have ended
     * @param queue the name of the queue
     * @param estimateMillis the duration that the caller has declared, 0 for none
     * @param elapsedMillis how long the task has run so far, 0 for a task that waits
     */
    long remainingMillis(
            LearnedDurations learned, String queue, long estimateMillis, long elapsedMillis);

    /**
     * Returns the expected duration of a task in milliseconds.
     *
     * @param learned what was learned from runs that have ended
     * @param queue the name of the queue
     * @param estimateMillis the duration that the caller has declared, 0 for none
     */
    default long expectedMillis(LearnedDurations learned, String queue, long estimateMillis) {
        return remainingMillis(learned, queue, estimateMillis, 0);
    }
}
