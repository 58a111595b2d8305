package org.jujubefork.core.jobs;

/** The state of a job as a whole. */
public enum JobState {
    /** The job has not ended: tasks may be waiting or running. */
    ACTIVE,
    /** All tasks succeeded. */
    SUCCEEDED,
    /** A task, or the gang as a whole, failed in every allowed attempt. */
    FAILED,
    /** A caller cancelled the job. */
    CANCELLED;

    /** Returns whether the job has ended; its state does not change any more. */
    public boolean isFinal() {
        return this != ACTIVE;
    }
}
