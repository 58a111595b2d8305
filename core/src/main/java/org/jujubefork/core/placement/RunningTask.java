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
 * @param confirmedAtMillis when the worker was found to have started it; {@link #UNCONFIRMED} until
 *     then
 * @param origin where the answer goes; empty for tasks of jobs
 * @param usage usage as last reported
 * @param progress the part that is done, from 0 to 1, as last reported
 * @param charge what it takes of its worker by experience: the learned size, or the reported usage
 *     if that is larger
 * @param peak the highest reported usage, component by component
 * @param request the request as it waited; empty for tasks of jobs and for adopted tasks
 * @param throttled whether it was told to run with no more than its declared size
 */
public record RunningTask(
        TaskSpec spec,
        WorkerId worker,
        TaskPhase phase,
        long placedAtMillis,
        long confirmedAtMillis,
        Optional<RequestOrigin> origin,
        Resources usage,
        double progress,
        Resources charge,
        Resources peak,
        Optional<QueuedWork.Request> request,
        boolean throttled) {
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
                0,
                spec.size(),
                Resources.ZERO,
                Optional.empty(),
                false);
    }

    /** Returns this task in another phase. */
    public RunningTask in(TaskPhase other) {
        return new RunningTask(
                spec,
                worker,
                other,
                placedAtMillis,
                confirmedAtMillis,
                origin,
                usage,
                progress,
                charge,
                peak,
                request,
                throttled);
    }

    /** Returns this task as the start of {@code work}. */
    RunningTask startedFor(QueuedWork.Request work) {
        return new RunningTask(
                spec,
                worker,
                phase,
                placedAtMillis,
                confirmedAtMillis,
                origin,
                usage,
                progress,
                charge,
                peak,
                Optional.of(work),
                throttled);
    }

    /** Returns this task charged with {@code size} by experience. */
    public RunningTask charged(Resources size) {
        return new RunningTask(
                spec,
                worker,
                phase,
                placedAtMillis,
                confirmedAtMillis,
                origin,
                usage,
                progress,
                size,
                peak,
                request,
                throttled);
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
                progress,
                charge,
                peak,
                request,
                throttled);
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
                done,
                throttled ? charge : charge.max(measured),
                peak.max(measured),
                request,
                throttled);
    }

    /** Returns this task after the worker confirmed that it is held to its declared size. */
    RunningTask asThrottled() {
        return new RunningTask(
                spec,
                worker,
                phase,
                placedAtMillis,
                confirmedAtMillis,
                origin,
                usage,
                progress,
                charge.min(spec.size()),
                peak,
                request,
                true);
    }

    /** Returns the job or queue that a failure of this task is counted for. */
    String subject() {
        return spec.job().map(j -> "job:" + j.job()).orElseGet(() -> "queue:" + spec.queue());
    }
}
