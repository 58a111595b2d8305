package org.jujubefork.core.workflow;

/**
 * One task of a step. Each start of a task is a run; runs are numbered in ascending order.
 *
 * @param phase its phase
 * @param runNumber the number of its newest run, 0 before the first run
 * @param worker the worker that it is assigned to; empty while it waits or after it is done
 * @param failedRuns its runs that have failed
 * @param checkpoint the newest checkpoint, empty for none
 */
public record Task(
        Phase phase, long runNumber, String worker, FailedRuns failedRuns, String checkpoint) {
    /** A task that was never started. */
    public static final Task NEW = new Task(Phase.WAITING, 0, "", FailedRuns.NONE, "");

    /** The phase of a task. */
    public enum Phase {
        /** Waits to be placed on a worker. */
        WAITING,
        /** Has capacity allocated on a worker and waits for a ticket or for its start. */
        ASSIGNED,
        /** A start command was sent and has not been answered yet. */
        STARTING,
        /** The worker has confirmed the run. */
        RUNNING,
        /** A stop command was sent, possibly because the result of the start command is unknown. */
        STOPPING,
        /** Has completed successfully. */
        DONE
    }

    /**
     * Returns this task waiting for a new run. If {@code newCheckpoint} is empty, the current
     * checkpoint stays.
     */
    public Task asWaiting(FailedRuns newFailedRuns, String newCheckpoint) {
        String latestCheckpoint = newCheckpoint.isEmpty() ? checkpoint : newCheckpoint;
        return new Task(Phase.WAITING, runNumber, "", newFailedRuns, latestCheckpoint);
    }

    /** Returns a copy with {@code other} as the failed runs. */
    public Task withFailedRuns(FailedRuns other) {
        return new Task(phase, runNumber, worker, other, checkpoint);
    }

    /** Returns this task with capacity allocated on {@code newWorker} for a new run. */
    public Task assignedTo(String newWorker, long newRunNumber) {
        return new Task(Phase.ASSIGNED, newRunNumber, newWorker, failedRuns, checkpoint);
    }

    /** Returns a copy in {@code newPhase}. */
    public Task inPhase(Phase newPhase) {
        return new Task(newPhase, runNumber, worker, failedRuns, checkpoint);
    }

    /** Returns this task as completed successfully, without a worker or checkpoint. */
    public Task asDone() {
        return new Task(Phase.DONE, runNumber, "", failedRuns, "");
    }

    /**
     * Returns this task as running on {@code foundWorker}, where an earlier leader had started it.
     */
    public Task asRunning(String foundWorker, long foundRunNumber) {
        return new Task(Phase.RUNNING, foundRunNumber, foundWorker, failedRuns, checkpoint);
    }
}
