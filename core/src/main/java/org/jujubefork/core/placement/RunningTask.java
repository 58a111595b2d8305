package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerId;

/**
 * A task that was placed on a worker and has not ended as far as the owner knows.
 *
 * @param spec what runs
 * @param worker where it runs
 * @param phase how far it has come
 * @param placedAtMillis when it was placed
 * @param confirmedAtMillis when the worker was first known to have started it; {@link #UNCONFIRMED}
 *     before. A report that was asked for earlier may not show it yet
 * @param origin where the answer goes; empty for tasks of jobs
 * @param usage usage as last reported
 * @param progress the part that is done, from 0 to 1, as last reported
 */
public record RunningTask(
        TaskSpec spec,
        WorkerId worker,
        TaskPhase phase,
        long placedAtMillis,
        long confirmedAtMillis,
        Optional<RequestOrigin> origin,
        Resources usage,
        double progress) {
    /** Stands for a start that the worker has not confirmed. */
    public static final long UNCONFIRMED = Long.MAX_VALUE;

    /** Returns a task of which the start is being sent. */
    public static RunningTask starting(
            TaskSpec spec, WorkerId worker, long nowMillis, Optional<RequestOrigin> origin) {
        return new RunningTask(
                spec,
                worker,
                TaskPhase.STARTING,
                nowMillis,
                UNCONFIRMED,
                origin,
                Resources.ZERO,
                0);
    }

    /** Returns this task in another phase. */
    public RunningTask in(TaskPhase other) {
        return new RunningTask(
                spec, worker, other, placedAtMillis, confirmedAtMillis, origin, usage, progress);
    }

    /** Returns this task after its worker was found to have started it. */
    public RunningTask confirmed(long nowMillis) {
        return new RunningTask(
                spec,
                worker,
                phase == TaskPhase.STARTING ? TaskPhase.RUNNING : phase,
                placedAtMillis,
                Math.min(confirmedAtMillis, nowMillis),
                origin,
                usage,
                progress);
    }

    /** Returns this task with figures that its worker reported. */
    public RunningTask reported(Resources measured, double done, long nowMillis) {
        TaskPhase confirmed = phase == TaskPhase.STOPPING ? phase : TaskPhase.RUNNING;
        return new RunningTask(
                spec,
                worker,
                confirmed,
                placedAtMillis,
                Math.min(confirmedAtMillis, nowMillis),
                origin,
                measured,
                done);
    }
}
