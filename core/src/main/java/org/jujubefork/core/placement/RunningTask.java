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
 * @param accounting what it uses and is charged with
 */
public record RunningTask(
        TaskSpec spec,
        WorkerId worker,
        TaskPhase phase,
        long placedAtMillis,
        long confirmedAtMillis,
        Optional<QueuedWork.Request> request,
        Accounting accounting) {
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
    public record Accounting(
            Resources usage, double progress, Resources charge, Resources peak, boolean throttled) {
        private static Accounting withCharge(Resources charge) {
            return new Accounting(Resources.ZERO, 0, charge, Resources.ZERO, false);
        }

        private Accounting withReport(Resources measured, double done) {
            return new Accounting(
                    measured,
                    done,
                    throttled ? charge : charge.max(measured),
                    peak.max(measured),
                    throttled);
        }

        private Accounting throttledTo(Resources size) {
            return new Accounting(usage, progress, charge.min(size), peak, true);
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
                Accounting.withCharge(charge));
    }

    /** Returns where the answer goes; empty for tasks of jobs and for adopted tasks. */
    public Optional<RequestOrigin> origin() {
        return request.map(QueuedWork.Request::origin);
    }

    /** Returns the usage as last reported. */
    public Resources usage() {
        return accounting.usage();
    }

    /** Returns the part that is done, from 0 to 1, as last reported. */
    public double progress() {
        return accounting.progress();
    }

    /** Returns what it takes of its worker by experience. */
    public Resources charge() {
        return accounting.charge();
    }

    /** Returns the highest reported usage, component by component. */
    public Resources peak() {
        return accounting.peak();
    }

    /** Returns whether it was told to run with no more than its declared size. */
    public boolean throttled() {
        return accounting.throttled();
    }

    /** Returns this task in another phase. */
    public RunningTask withPhase(TaskPhase other) {
        return new RunningTask(
                spec, worker, other, placedAtMillis, confirmedAtMillis, request, accounting);
    }

    /** Returns this task after its worker was found to have started it. */
    public RunningTask withStartConfirmed(long nowMillis) {
        return withConfirmation(
                nowMillis, phase == TaskPhase.STARTING ? TaskPhase.RUNNING : phase, accounting);
    }

    /** Returns this task with figures that its worker reported. */
    public RunningTask withReport(Resources measured, double done, long nowMillis) {
        TaskPhase newPhase = phase == TaskPhase.STOPPING ? phase : TaskPhase.RUNNING;
        return withConfirmation(nowMillis, newPhase, accounting.withReport(measured, done));
    }

    private RunningTask withConfirmation(
            long nowMillis, TaskPhase newPhase, Accounting newAccounting) {
        long firstConfirmedMillis = Math.min(confirmedAtMillis, nowMillis);
        return new RunningTask(
                spec,
                worker,
                newPhase,
                placedAtMillis,
                firstConfirmedMillis,
                request,
                newAccounting);
    }

    /** Returns this task after the worker confirmed that it is held to its declared size. */
    RunningTask asThrottled() {
        Accounting limited = accounting.throttledTo(spec.size());
        return new RunningTask(
                spec, worker, phase, placedAtMillis, confirmedAtMillis, request, limited);
    }

    /** Returns the job or queue that a failure of this task is counted for. */
    String healthSubject() {
        return spec.job().map(j -> "job:" + j.job()).orElseGet(() -> "queue:" + spec.queue());
    }
}
