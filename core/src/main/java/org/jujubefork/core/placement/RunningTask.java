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
 * @param request the request as it waited; empty for tasks of jobs and for adopted tasks
 * @param figures what it uses and is charged with
 */
public record RunningTask(
        TaskSpec spec,
        WorkerId worker,
        TaskPhase phase,
        long placedAtMillis,
        long confirmedAtMillis,
        Optional<QueuedWork.Request> request,
        Figures figures) {
    /** Stands for a start that the worker has not confirmed. */
    public static final long UNCONFIRMED = Long.MAX_VALUE;

    /**
     * What a task uses and what it is charged with.
     *
     * @param usage usage as last reported
     * @param progress the part that is done, from 0 to 1, as last reported
     * @param charge what it takes of its worker by experience: the learned size, or the reported
     *     usage if that is larger
     * @param peak the highest reported usage, component by component
     * @param throttled whether it was told to run with no more than its declared size
     */
    public record Figures(
            Resources usage, double progress, Resources charge, Resources peak, boolean throttled) {
        private static Figures charging(Resources charge) {
            return new Figures(Resources.ZERO, 0, charge, Resources.ZERO, false);
        }

        private Figures reported(Resources measured, double done) {
            return new Figures(
                    measured,
                    done,
                    throttled ? charge : charge.max(measured),
                    peak.max(measured),
                    throttled);
        }

        private Figures throttledTo(Resources size) {
            return new Figures(usage, progress, charge.min(size), peak, true);
        }
    }

    /** Returns a task charged with {@code charge}, of which the start is being sent. */
    public static RunningTask starting(
            TaskSpec spec,
            WorkerId worker,
            long nowMillis,
            Optional<QueuedWork.Request> request,
            Resources charge) {
        return new RunningTask(
                spec,
                worker,
                TaskPhase.STARTING,
                nowMillis,
                UNCONFIRMED,
                request,
                Figures.charging(charge));
    }

    /** Returns where the answer goes; empty for tasks of jobs and for adopted tasks. */
    public Optional<RequestOrigin> origin() {
        return request.map(QueuedWork.Request::origin);
    }

    /** Returns the usage as last reported. */
    public Resources usage() {
        return figures.usage();
    }

    /** Returns the part that is done, from 0 to 1, as last reported. */
    public double progress() {
        return figures.progress();
    }

    /** Returns what it takes of its worker by experience. */
    public Resources charge() {
        return figures.charge();
    }

    /** Returns the highest reported usage, component by component. */
    public Resources peak() {
        return figures.peak();
    }

    /** Returns whether it was told to run with no more than its declared size. */
    public boolean throttled() {
        return figures.throttled();
    }

    /** Returns this task in another phase. */
    public RunningTask in(TaskPhase other) {
        return new RunningTask(
                spec, worker, other, placedAtMillis, confirmedAtMillis, request, figures);
    }

    /** Returns this task after its worker was found to have started it. */
    public RunningTask confirmed(long nowMillis) {
        return foundBy(nowMillis, phase == TaskPhase.STARTING ? TaskPhase.RUNNING : phase, figures);
    }

    /** Returns this task with figures that its worker reported. */
    public RunningTask reported(Resources measured, double done, long nowMillis) {
        TaskPhase found = phase == TaskPhase.STOPPING ? phase : TaskPhase.RUNNING;
        return foundBy(nowMillis, found, figures.reported(measured, done));
    }

    private RunningTask foundBy(long nowMillis, TaskPhase found, Figures known) {
        long first = Math.min(confirmedAtMillis, nowMillis);
        return new RunningTask(spec, worker, found, placedAtMillis, first, request, known);
    }

    /** Returns this task after the worker confirmed that it is held to its declared size. */
    RunningTask asThrottled() {
        Figures held = figures.throttledTo(spec.size());
        return new RunningTask(
                spec, worker, phase, placedAtMillis, confirmedAtMillis, request, held);
    }

    /** Returns the job or queue that a failure of this task is counted for. */
    String subject() {
        return spec.job().map(j -> "job:" + j.job()).orElseGet(() -> "queue:" + spec.queue());
    }
}
