package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.PSortedSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A worker of an owned shard.
 *
 * @param listing the worker on the VM list
 * @param phase whether it takes work
 * @param incarnation its run, 0 until the lease is granted
 * @param leaving whether it takes no new work
 * @param health whether it runs what it starts
 * @param capacity what it holds in all
 * @param slots how many requests it serves at a time
 * @param load what is placed on it
 * @param reserved what is kept for a gang
 * @param acknowledgements ended tasks that the next renewal acknowledges
 * @param askedAtMillis when the lease was last asked for or renewed
 * @param leaseSentMillis send time of the newest request that the worker granted
 */
public record WorkerState(
        WorkerListing listing,
        WorkerPhase phase,
        long incarnation,
        boolean leaving,
        WorkerHealth health,
        Resources capacity,
        int slots,
        Load load,
        Resources reserved,
        PVector<TaskId> acknowledgements,
        long askedAtMillis,
        long leaseSentMillis) {
    /** Returns a worker whose lease is being asked for. */
    public static WorkerState acquiring(WorkerListing listing, long nowMillis) {
        return new WorkerState(
                listing,
                WorkerPhase.ACQUIRING,
                0,
                listing.leaving(),
                WorkerHealth.GOOD,
                listing.capacity(),
                listing.slots(),
                Load.NONE,
                Resources.ZERO,
                TreePVector.empty(),
                nowMillis,
                nowMillis);
    }

    /** Returns the worker's id. */
    public WorkerId id() {
        return listing.id();
    }

    /** Returns the declared sizes of the tasks placed on it. */
    public Resources committed() {
        return load.committed();
    }

    /** Returns how many requests are placed on it. */
    public int usedSlots() {
        return load.usedSlots();
    }

    /** Returns the tasks placed on it. */
    public PSortedSet<TaskId> tasks() {
        return load.tasks();
    }

    /** Returns whether it takes no work, but for a probe, because it fails what it starts. */
    public boolean quarantined() {
        return health.isQuarantined();
    }

    /** Returns what is free by declared and by observed sizes, without regard to reservations. */
    public Resources free() {
        return capacity.minus(load.taken()).max(Resources.ZERO);
    }

    /** Returns what is free for work other than the gang that reserved a part. */
    public Resources available() {
        return capacity.minus(load.taken()).minus(reserved).max(Resources.ZERO);
    }

    /** Returns how many request slots are free. */
    public int freeSlots() {
        return Math.max(0, slots - load.usedSlots());
    }

    /** Returns whether work may be placed here. */
    public boolean isEligible() {
        return phase == WorkerPhase.ACTIVE && !leaving && health.takesWork();
    }

    /** Returns whether more work may fit here than on {@code before}. */
    boolean hasMoreRoomThan(WorkerState before) {
        return isEligible()
                && (!before.isEligible()
                        || !available().fitsIn(before.available())
                        || freeSlots() > before.freeSlots());
    }

    /** Returns this worker with {@code task} placed on it. */
    WorkerState plus(RunningTask task) {
        return with(load.plus(task), health.started(task.spec().id()));
    }

    /** Returns this worker without {@code task}. */
    WorkerState minus(RunningTask task) {
        return with(load.minus(task), health.released(task.spec().id()));
    }

    /** Returns this worker with the charge of a task changed. */
    WorkerState recharged(Resources before, Resources after) {
        return with(load.recharged(before, after), health);
    }

    /** Returns this worker in another health. */
    WorkerState in(WorkerHealth other) {
        return with(load, other);
    }

    private WorkerState with(Load sums, WorkerHealth condition) {
        return new WorkerState(
                listing,
                phase,
                incarnation,
                leaving,
                condition,
                capacity,
                slots,
                sums,
                reserved,
                acknowledgements,
                askedAtMillis,
                leaseSentMillis);
    }

    /** Returns this worker with {@code amount} kept for a gang. */
    WorkerState reserving(Resources amount) {
        return new WorkerState(
                listing,
                phase,
                incarnation,
                leaving,
                health,
                capacity,
                slots,
                load,
                amount,
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
                health,
                report.capacity(),
                report.slots(),
                load,
                reserved,
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
                health,
                capacity,
                slots,
                load,
                reserved,
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
                health,
                capacity,
                slots,
                load,
                reserved,
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
                health,
                capacity,
                slots,
                load,
                reserved,
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
                health,
                capacity,
                slots,
                load,
                reserved,
                acknowledgements.plus(task),
                askedAtMillis,
                leaseSentMillis);
    }
}
