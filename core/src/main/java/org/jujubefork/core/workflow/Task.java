package org.jujubefork.core.workflow;

/**
 * One task of a step. Each start of a task is a run; runs are numbered in ascending order.
 *
 * @param phase its phase
 * @param runNumber the number of its newest run, 0 before the first run
 * @param worker the worker that it is assigned to; empty while it waits or after it is done
 * @param mayHaveRun whether a worker has confirmed a run of it, or may have carried out a run
 *     without a confirmation. A start that was rejected is no run.
 * @param failedRuns its runs that have failed
 * @param checkpoint the newest checkpoint, empty for none
 */
public record Task(
        Phase phase,
        long runNumber,
        String worker,
        boolean mayHaveRun,
        FailedRuns failedRuns,
        String checkpoint) {
    /** A task that was never started. */
    public static final Task NEW = new Task(Phase.WAITING, 0, "", false, FailedRuns.NONE, "");

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
     * Returns this task waiting for a new run after a run of it has ended. If {@code newCheckpoint}
     * is empty, the current checkpoint stays.
     */
    public Task asWaiting(FailedRuns newFailedRuns, String newCheckpoint) {
        String latestCheckpoint = newCheckpoint.isEmpty() ? checkpoint : newCheckpoint;
        return new Task(Phase.WAITING, runNumber, "", true, newFailedRuns, latestCheckpoint);
    }

    /**
     * Returns this task waiting for a new run after its newest run, if it was started, was lost.
     */
    public Task afterLostRun() {
        return new Task(Phase.WAITING, runNumber, "", hasStarted(), failedRuns, checkpoint);
    }

    /** Returns this task waiting for a new run after its newest run was certainly not started. */
    public Task withoutStart() {
        return new Task(Phase.WAITING, runNumber, "", mayHaveRun, failedRuns, checkpoint);
    }

    /**
     * Returns whether a run of this task was confirmed, may have been carried out, or may be
     * carried out because its start command is on the way.
     */
    public boolean hasStarted() {
        return mayHaveRun || (phase != Phase.WAITING && phase != Phase.ASSIGNED);
    }

    /** Returns a copy with {@code other} as the failed runs. */
    public Task withFailedRuns(FailedRuns other) {
        return new Task(phase, runNumber, worker, mayHaveRun, other, checkpoint);
    }

    /** Returns this task with capacity allocated on {@code newWorker} for a new run. */
    public Task assignedTo(String newWorker, long newRunNumber) {
        return new Task(
                Phase.ASSIGNED, newRunNumber, newWorker, mayHaveRun, failedRuns, checkpoint);
    }

    /** Returns a copy in {@code newPhase}. */
    public Task inPhase(Phase newPhase) {
        boolean isConfirmed = newPhase == Phase.RUNNING;
        return new Task(
                newPhase, runNumber, worker, mayHaveRun || isConfirmed, failedRuns, checkpoint);
    }

    /** Returns this task as completed successfully, without a worker or checkpoint. */
    public Task asDone() {
        return new Task(Phase.DONE, runNumber, "", true, failedRuns, "");
    }

    /**
     * Returns this task as running on {@code foundWorker}, where an earlier leader had started it.
     */
    public Task asRunning(String foundWorker, long foundRunNumber) {
        return new Task(Phase.RUNNING, foundRunNumber, foundWorker, true, failedRuns, checkpoint);
    }
}
