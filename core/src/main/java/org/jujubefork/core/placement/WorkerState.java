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
 * @param reported what it said of itself
 * @param health whether it runs what it starts
 * @param load what is placed on it
 * @param reserved what is kept for a gang
 * @param lease the requests for its lease
 */
public record WorkerState(
        WorkerListing listing,
        WorkerPhase phase,
        Reported reported,
        WorkerHealth health,
        WorkerLoad load,
        Resources reserved,
        Lease lease) {
    /**
     * What a worker said of itself, or what the VM list says until the lease is granted.
     *
     * @param incarnation its run, 0 until the lease is granted
     * @param leaving whether it takes no new work
     * @param capacity what it holds in all
     * @param slots how many requests it serves at a time
     */
    public record Reported(long incarnation, boolean leaving, Resources capacity, int slots) {}

    /**
     * The requests for the lease of a worker.
     *
     * @param acknowledgements ended tasks that the next renewal acknowledges
     * @param requestedAtMillis when the lease was last asked for or renewed
     * @param grantedRequestSentAtMillis send time of the newest request that the worker granted
     */
    public record Lease(
            PVector<TaskId> acknowledgements,
            long requestedAtMillis,
            long grantedRequestSentAtMillis) {}

    /** Returns a worker whose lease is being asked for. */
    public static WorkerState acquiring(WorkerListing listing, long nowMillis) {
        return new WorkerState(
                listing,
                WorkerPhase.ACQUIRING,
                new Reported(0, listing.leaving(), listing.capacity(), listing.slots()),
                WorkerHealth.HEALTHY,
                WorkerLoad.NONE,
                Resources.ZERO,
                new Lease(TreePVector.empty(), nowMillis, nowMillis));
    }

    /** Returns its run, 0 until the lease is granted. */
    public long incarnation() {
        return reported.incarnation();
    }

    /** Returns whether it takes no new work. */
    public boolean leaving() {
        return reported.leaving();
    }

    /** Returns what it holds in all. */
    public Resources capacity() {
        return reported.capacity();
    }

    /** Returns how many requests it serves at a time. */
    public int slots() {
        return reported.slots();
    }

    /** Returns ended tasks that the next renewal acknowledges. */
    public PVector<TaskId> acknowledgements() {
        return lease.acknowledgements();
    }

    /** Returns when the lease was last asked for or renewed. */
    public long leaseRequestedAtMillis() {
        return lease.requestedAtMillis();
    }

    /** Returns the send time of the newest request that the worker granted. */
    public long grantedRequestSentAtMillis() {
        return lease.grantedRequestSentAtMillis();
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
        return capacity().minus(load.used()).max(Resources.ZERO);
    }

    /** Returns what is free for work other than the gang that reserved a part. */
    public Resources available() {
        return capacity().minus(load.used()).minus(reserved).max(Resources.ZERO);
    }

    /** Returns how many request slots are free. */
    public int freeSlots() {
        return Math.max(0, slots() - load.usedSlots());
    }

    /** Returns whether work may be placed here. */
    public boolean isEligible() {
        return phase == WorkerPhase.ACTIVE && !leaving() && health.acceptsWork();
    }

    /** Returns whether more work may fit here than on {@code before}. */
    boolean hasMoreFreeCapacityThan(WorkerState before) {
        return isEligible()
                && (!before.isEligible()
                        || !available().fitsIn(before.available())
                        || freeSlots() > before.freeSlots());
    }

    /** Returns this worker with {@code task} placed on it. */
    WorkerState plus(RunningTask task) {
        return with(load.plus(task), health.afterStart(task.spec().id()));
    }

    /** Returns this worker without {@code task}. */
    WorkerState minus(RunningTask task) {
        return with(load.minus(task), health.afterRelease(task.spec().id()));
    }

    /** Returns this worker with the charge of a task changed. */
    WorkerState withChangedCharge(Resources before, Resources after) {
        return with(load.withChangedCharge(before, after), health);
    }

    /** Returns this worker in another health. */
    WorkerState with(WorkerHealth other) {
        return with(load, other);
    }

    private WorkerState with(WorkerLoad newLoad, WorkerHealth newHealth) {
        return new WorkerState(listing, phase, reported, newHealth, newLoad, reserved, lease);
    }

    private WorkerState with(Lease newLease) {
        return new WorkerState(listing, phase, reported, health, load, reserved, newLease);
    }

    /** Returns this worker with {@code amount} kept for a gang. */
    WorkerState withReserved(Resources amount) {
        return new WorkerState(listing, phase, reported, health, load, amount, lease);
    }

    /** Returns this worker after it granted a request that was sent at {@code sentAtMillis}. */
    WorkerState withGrantedLease(WorkerReport report, long sentAtMillis) {
        boolean leaving = report.leaving() || listing.leaving();
        long newestSentAtMillis = Math.max(lease.grantedRequestSentAtMillis(), sentAtMillis);
        return new WorkerState(
                listing,
                WorkerPhase.ACTIVE,
                new Reported(report.incarnation(), leaving, report.capacity(), report.slots()),
                health,
                load,
                reserved,
                new Lease(lease.acknowledgements(), lease.requestedAtMillis(), newestSentAtMillis));
    }

    /** Returns this worker in another phase. */
    WorkerState with(WorkerPhase other) {
        return new WorkerState(listing, other, reported, health, load, reserved, lease);
    }

    /** Returns this worker after a lease request was sent. */
    WorkerState withLeaseRequested(long nowMillis) {
        return with(new Lease(TreePVector.empty(), nowMillis, lease.grantedRequestSentAtMillis()));
    }

    /** Returns this worker as the VM list shows it now; empty if it is no longer listed. */
    WorkerState withListing(Optional<WorkerListing> now) {
        boolean leaving = now.map(WorkerListing::leaving).orElse(true);
        Reported updated = new Reported(incarnation(), leaving, capacity(), slots());
        return new WorkerState(now.orElse(listing), phase, updated, health, load, reserved, lease);
    }

    /** Returns this worker with {@code task} to be acknowledged by the next renewal. */
    WorkerState withAcknowledgement(TaskId task) {
        PVector<TaskId> ended = lease.acknowledgements().plus(task);
        return with(
                new Lease(ended, lease.requestedAtMillis(), lease.grantedRequestSentAtMillis()));
    }
}
