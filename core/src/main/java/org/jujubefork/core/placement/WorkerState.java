package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.PSortedSet;
import org.pcollections.PVector;
import org.pcollections.TreePSet;
import org.pcollections.TreePVector;

/**
 * A worker of an owned shard.
 *
 * @param listing the worker on the VM list
 * @param phase whether it takes work
 * @param incarnation its run, 0 until the lease is granted
 * @param leaving whether it takes no new work
 * @param quarantined whether it takes no work because it fails what it starts
 * @param capacity what it holds in all
 * @param slots how many requests it serves at a time
 * @param committed declared sizes of the tasks placed on it
 * @param usedSlots requests placed on it
 * @param tasks the tasks placed on it
 * @param acknowledgements ended tasks that the next renewal acknowledges
 * @param askedAtMillis when the lease was last asked for or renewed
 * @param leaseSentMillis send time of the newest request that the worker granted
 */
public record WorkerState(
        WorkerListing listing,
        WorkerPhase phase,
        long incarnation,
        boolean leaving,
        boolean quarantined,
        Resources capacity,
        int slots,
        Resources committed,
        int usedSlots,
        PSortedSet<TaskId> tasks,
        PVector<TaskId> acknowledgements,
        long askedAtMillis,
        long leaseSentMillis) {
    /** Returns a worker whose lease is about to be asked for. */
    public static WorkerState acquiring(WorkerListing listing, long nowMillis) {
        return new WorkerState(
                listing,
                WorkerPhase.ACQUIRING,
                0,
                listing.leaving(),
                false,
                listing.capacity(),
                listing.slots(),
                Resources.ZERO,
                0,
                TreePSet.empty(),
                TreePVector.empty(),
                nowMillis,
                nowMillis);
    }

    /** Returns the worker's id. */
    public WorkerId id() {
        return listing.id();
    }

    /** Returns what is free. */
    public Resources free() {
        return capacity.minus(committed).max(Resources.ZERO);
    }

    /** Returns how many request slots are free. */
    public int freeSlots() {
        return Math.max(0, slots - usedSlots);
    }

    /** Returns whether work may be placed here. */
    public boolean isEligible() {
        return phase == WorkerPhase.ACTIVE && !leaving && !quarantined;
    }

    /** Returns this worker with {@code task} placed on it. */
    WorkerState plus(RunningTask task) {
        return withTasks(
                committed.plus(task.spec().size()),
                usedSlots + slotsOf(task),
                tasks.plus(task.spec().id()));
    }

    /** Returns this worker without {@code task}. */
    WorkerState minus(RunningTask task) {
        return withTasks(
                committed.minus(task.spec().size()),
                usedSlots - slotsOf(task),
                tasks.minus(task.spec().id()));
    }

    private static int slotsOf(RunningTask task) {
        return task.spec().kind().isRequest() ? 1 : 0;
    }

    private WorkerState withTasks(Resources sum, int requests, PSortedSet<TaskId> ids) {
        return new WorkerState(
                listing,
                phase,
                incarnation,
                leaving,
                quarantined,
                capacity,
                slots,
                sum,
                requests,
                ids,
                acknowledgements,
                askedAtMillis,
                leaseSentMillis);
    }

    /** Returns this worker after it granted a request that was sent at {@code sentAtMillis}. */
    WorkerState granted(WorkerReport report, long sentAtMillis) {
        return new WorkerState(
                listing,
                WorkerPhase.ACTIVE,
                report.incarnation(),
                report.leaving() || listing.leaving(),
                quarantined,
                report.capacity(),
                report.slots(),
                committed,
                usedSlots,
                tasks,
                acknowledgements,
                askedAtMillis,
                Math.max(leaseSentMillis, sentAtMillis));
    }

    /** Returns this worker in another phase. */
    WorkerState in(WorkerPhase other) {
        return new WorkerState(
                listing,
                other,
                incarnation,
                leaving,
                quarantined,
                capacity,
                slots,
                committed,
                usedSlots,
                tasks,
                acknowledgements,
                askedAtMillis,
                leaseSentMillis);
    }

    /** Returns this worker after a lease request was sent. */
    WorkerState asked(long nowMillis) {
        return new WorkerState(
                listing,
                phase,
                incarnation,
                leaving,
                quarantined,
                capacity,
                slots,
                committed,
                usedSlots,
                tasks,
                TreePVector.empty(),
                nowMillis,
                leaseSentMillis);
    }

    /** Returns this worker as the VM list shows it now; empty if it is no longer listed. */
    WorkerState listed(Optional<WorkerListing> now) {
        return new WorkerState(
                now.orElse(listing),
                phase,
                incarnation,
                now.map(WorkerListing::leaving).orElse(true),
                quarantined,
                capacity,
                slots,
                committed,
                usedSlots,
                tasks,
                acknowledgements,
                askedAtMillis,
                leaseSentMillis);
    }

    /** Returns this worker with {@code task} to be acknowledged by the next renewal. */
    WorkerState acknowledging(TaskId task) {
        return new WorkerState(
                listing,
                phase,
                incarnation,
                leaving,
                quarantined,
                capacity,
                slots,
                committed,
                usedSlots,
                tasks,
                acknowledgements.plus(task),
                askedAtMillis,
                leaseSentMillis);
    }
}
