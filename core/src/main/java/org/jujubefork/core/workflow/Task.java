package org.jujubefork.core.workflow;

/**
 * One task of a step and where it is.
 *
 * @param phase what is known of it
 * @param runNumber the number of its newest start, 0 before the first
 * @param worker the worker that it is assigned to; empty while it waits or has ended
 * @param failedRuns its runs that ended as failed
 * @param checkpoint the newest checkpoint, empty for none
 */
public record Task(
        Phase phase, long runNumber, String worker, FailedRuns failedRuns, String checkpoint) {
    /** A task that has not been started. */
    public static final Task NEW = new Task(Phase.WAITING, 0, "", FailedRuns.NONE, "");

    /** What is known of a task. */
    public enum Phase {
        /** Runs nowhere and has to run. */
        WAITING,
        /** Has room on a worker and waits for a ticket. */
        ASSIGNED,
        /** A start was sent and not answered yet. */
        STARTING,
        /** Runs. */
        RUNNING,
        /** A stop was sent, or the outcome of a start is being settled. */
        STOPPING,
        /** Has ended with success. */
        DONE
    }

    /** Returns this task after its run has ended without success. */
    public Task asWaiting(FailedRuns newFailedRuns, String newCheckpoint) {
        String latestCheckpoint = newCheckpoint.isEmpty() ? checkpoint : newCheckpoint;
        return new Task(Phase.WAITING, runNumber, "", newFailedRuns, latestCheckpoint);
    }

    /** Returns this task with other failures. */
    public Task withFailedRuns(FailedRuns other) {
        return new Task(phase, runNumber, worker, other, checkpoint);
    }

    /** Returns this task assigned to {@code newWorker}. */
    public Task assignedTo(String newWorker, long newRunNumber) {
        return new Task(Phase.ASSIGNED, newRunNumber, newWorker, failedRuns, checkpoint);
    }

    /** Returns this task in {@code newPhase}. */
    public Task inPhase(Phase newPhase) {
        return new Task(newPhase, runNumber, worker, failedRuns, checkpoint);
    }

    /** Returns this task done. */
    public Task asDone() {
        return new Task(Phase.DONE, runNumber, "", failedRuns, "");
    }

    /** Returns this task as found running on {@code foundWorker}. */
    public Task asRunning(String foundWorker, long foundRunNumber) {
        return new Task(Phase.RUNNING, foundRunNumber, foundWorker, failedRuns, checkpoint);
    }
}
