package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerId;

/**
 * A task that is placed on a worker and, as far as the owner knows, has not ended.
 *
 * @param spec the task
 * @param worker the worker on which it is placed
 * @param phase the phase of its execution
 * @param placedAtMillis when it was placed
 * @param confirmedAtMillis when the owner learned that the worker had started it; {@link
 *     #UNCONFIRMED} until then
 * @param request the queued request; empty for tasks of jobs and for tasks adopted from a worker's
 *     report
 * @param accounting its usage and the resources charged for it
 */
public record RunningTask(
        TaskSpec spec,
        WorkerId worker,
        TaskPhase phase,
        long placedAtMillis,
        long confirmedAtMillis,
        Optional<QueuedWork.Request> request,
        Accounting accounting) {
    /** Value of {@code confirmedAtMillis} while the worker has not confirmed the start. */
    public static final long UNCONFIRMED = Long.MAX_VALUE;

    /**
     * The usage of a task and the resources charged for it.
     *
     * @param usage the usage as last reported
     * @param progress the completed fraction, from 0 to 1, as last reported
     * @param charge the resources charged to its worker: the learned size, or the reported usage if
     *     that is larger
     * @param peak the highest reported usage, component by component
     * @param throttled whether the worker limits it to its declared size
     */
    public record Accounting(
            Resources usage, double progress, Resources charge, Resources peak, boolean throttled) {
        private static Accounting initial(Resources charge) {
            return new Accounting(Resources.ZERO, 0, charge, Resources.ZERO, false);
        }

        private Accounting withReport(Resources measured, double completedFraction) {
            return new Accounting(
                    measured,
                    completedFraction,
                    throttled ? charge : charge.max(measured),
                    peak.max(measured),
                    throttled);
        }

        private Accounting throttledTo(Resources size) {
            return new Accounting(usage, progress, charge.min(size), peak, true);
        }
    }

    /** Returns a task that is charged with {@code charge} and whose start command is being sent. */
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
                Accounting.initial(charge));
    }

    /** Returns where the answer is sent; empty for tasks of jobs and for adopted tasks. */
    public Optional<RequestOrigin> origin() {
        return request.map(QueuedWork.Request::origin);
    }

    /** Returns the usage as last reported. */
    public Resources usage() {
        return accounting.usage();
    }

    /** Returns the completed fraction, from 0 to 1, as last reported. */
    public double progress() {
        return accounting.progress();
    }

    /** Returns the resources charged to its worker for this task. */
    public Resources charge() {
        return accounting.charge();
    }

    /** Returns the highest reported usage, component by component. */
    public Resources peak() {
        return accounting.peak();
    }

    /** Returns whether the worker limits it to its declared size. */
    public boolean throttled() {
        return accounting.throttled();
    }

    /** Returns this task with {@code other} as its phase. */
    public RunningTask withPhase(TaskPhase other) {
        return new RunningTask(
                spec, worker, other, placedAtMillis, confirmedAtMillis, request, accounting);
    }

    /** Returns this task with its start confirmed; an earlier confirmation time is retained. */
    public RunningTask withStartConfirmed(long nowMillis) {
        return withConfirmation(
                nowMillis, phase == TaskPhase.STARTING ? TaskPhase.RUNNING : phase, accounting);
    }

    /** Returns this task with the usage and progress that its worker reported. */
    public RunningTask withReport(Resources measured, double completedFraction, long nowMillis) {
        TaskPhase newPhase = phase == TaskPhase.STOPPING ? phase : TaskPhase.RUNNING;
        return withConfirmation(
                nowMillis, newPhase, accounting.withReport(measured, completedFraction));
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

    /**
     * Returns this task as throttled: the worker has confirmed that it limits the task to its
     * declared size.
     */
    RunningTask asThrottled() {
        Accounting limited = accounting.throttledTo(spec.size());
        return new RunningTask(
                spec, worker, phase, placedAtMillis, confirmedAtMillis, request, limited);
    }

    /** Returns the job or queue to which successes and failures of this task are attributed. */
    String healthSubject() {
        return spec.jobTask().map(j -> "job:" + j.job()).orElseGet(() -> "queue:" + spec.queue());
    }
}
