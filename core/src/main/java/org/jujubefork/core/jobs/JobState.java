package org.jujubefork.core.jobs;

/** The state of a job. */
public enum JobState {
    /** Its tasks wait or run. */
    ACTIVE,
    /** All its tasks succeeded. */
    SUCCEEDED,
    /** A task failed in each allowed attempt, or the job can never run. */
    FAILED,
    /** It was cancelled. */
    CANCELLED;

    /** Returns whether the job will not change any more. */
    public boolean isFinal() {
        return this != ACTIVE;
    }
}
