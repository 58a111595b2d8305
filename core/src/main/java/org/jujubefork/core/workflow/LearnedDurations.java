package org.jujubefork.core.workflow;

/**
 * How long the tasks of each queue really take, learned from runs that have ended. The leader keeps
 * it in memory; a new leader learns it again.
 */
public record LearnedDurations() {
    /** Nothing was learned yet. */
    public static final LearnedDurations NONE = new LearnedDurations();
}
