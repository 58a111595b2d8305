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
 * @param listing its listing on the VM list
 * @param phase whether work may be placed on it
 * @param properties the properties that it reported
 * @param health its health, derived from the outcomes of its tasks
 * @param load the load of the tasks placed on it
 * @param reserved the resources reserved for a gang
 * @param lease the state of its lease requests
 */
public record WorkerState(
        WorkerListing listing,
        WorkerPhase phase,
        Properties properties,
        WorkerHealth health,
        WorkerLoad load,
        Resources reserved,
        Lease lease) {
    /**
     * The properties that a worker reported; taken from the VM list until the lease is granted.
     *
     * @param incarnation the incarnation of the worker process, 0 until the lease is granted
     * @param leaving whether it is leaving the fleet and accepts no new work
     * @param capacity its total resources
     * @param slots how many requests it serves at a time
     */
    public record Properties(long incarnation, boolean leaving, Resources capacity, int slots) {}

    /**
     * The state of the lease requests to a worker.
     *
     * @param acknowledgements completed tasks that the next renewal acknowledges
     * @param requestedAtMillis when a grant or renewal was last requested
     * @param grantedRequestSentAtMillis the send time of the newest request that the worker
     *     granted; the time to live of the lease counts from then
     */
    public record Lease(
            PVector<TaskId> acknowledgements,
            long requestedAtMillis,
            long grantedRequestSentAtMillis) {}

    /** Returns a worker whose lease is being requested. */
    public static WorkerState acquiring(WorkerListing listing, long nowMillis) {
        return new WorkerState(
                listing,
                WorkerPhase.ACQUIRING,
                new Properties(0, listing.leaving(), listing.capacity(), listing.slots()),
                WorkerHealth.HEALTHY,
                WorkerLoad.NONE,
                Resources.ZERO,
                new Lease(TreePVector.empty(), nowMillis, nowMillis));
    }

    /** Returns the incarnation of the worker process, 0 until the lease is granted. */
    public long incarnation() {
        return properties.incarnation();
    }

    /** Returns whether the worker is leaving the fleet and accepts no new work. */
    public boolean leaving() {
        return properties.leaving();
    }

    /** Returns the total resources of the worker. */
    public Resources capacity() {
        return properties.capacity();
    }

    /** Returns how many requests the worker serves at a time. */
    public int slots() {
        return properties.slots();
    }

    /** Returns completed tasks that the next renewal acknowledges. */
    public PVector<TaskId> acknowledgements() {
        return lease.acknowledgements();
    }

    /** Returns when a grant or renewal of the lease was last requested. */
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

    /** Returns the sum of the declared sizes of the tasks placed on the worker. */
    public Resources committed() {
        return load.committed();
    }

    /** Returns how many requests are placed on the worker. */
    public int usedSlots() {
        return load.usedSlots();
    }

    /** Returns the ids of the tasks placed on the worker. */
    public PSortedSet<TaskId> tasks() {
        return load.tasks();
    }

    /** Returns whether the worker accepts no work except probes, because tasks failed on it. */
    public boolean quarantined() {
        return health.isQuarantined();
    }

    /**
     * Returns the resources that are free by both declared and observed sizes, ignoring
     * reservations.
     */
    public Resources free() {
        return capacity().minus(load.used()).max(Resources.ZERO);
    }

    /**
     * Returns the resources that are free for all work except the gang for which capacity is
     * reserved.
     */
    public Resources available() {
        return capacity().minus(load.used()).minus(reserved).max(Resources.ZERO);
    }

    /** Returns the number of free request slots. */
    public int freeSlots() {
        return Math.max(0, slots() - load.usedSlots());
    }

    /** Returns whether work may be placed here. */
    public boolean isEligible() {
        return phase == WorkerPhase.ACTIVE && !leaving() && health.acceptsWork();
    }

    /** Returns whether work may fit on this worker that did not fit on {@code before}. */
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

    /**
     * Returns this worker with the charge of one of its tasks changed from {@code before} to {@code
     * after}.
     */
    WorkerState withCharge(Resources before, Resources after) {
        return with(load.withCharge(before, after), health);
    }

    /** Returns this worker with {@code other} as its health. */
    WorkerState with(WorkerHealth other) {
        return with(load, other);
    }

    private WorkerState with(WorkerLoad newLoad, WorkerHealth newHealth) {
        return new WorkerState(listing, phase, properties, newHealth, newLoad, reserved, lease);
    }

    private WorkerState with(Lease newLease) {
        return new WorkerState(listing, phase, properties, health, load, reserved, newLease);
    }

    /** Returns this worker with {@code amount} reserved for a gang. */
    WorkerState withReserved(Resources amount) {
        return new WorkerState(listing, phase, properties, health, load, amount, lease);
    }

    /** Returns this worker after it granted a request that was sent at {@code sentAtMillis}. */
    WorkerState withGrantedLease(WorkerReport report, long sentAtMillis) {
        boolean isLeaving = report.leaving() || listing.leaving();
        long newestSentAtMillis = Math.max(lease.grantedRequestSentAtMillis(), sentAtMillis);
        return new WorkerState(
                listing,
                WorkerPhase.ACTIVE,
                new Properties(report.incarnation(), isLeaving, report.capacity(), report.slots()),
                health,
                load,
                reserved,
                new Lease(lease.acknowledgements(), lease.requestedAtMillis(), newestSentAtMillis));
    }

    /** Returns this worker with {@code other} as its phase. */
    WorkerState with(WorkerPhase other) {
        return new WorkerState(listing, other, properties, health, load, reserved, lease);
    }

    /** Returns this worker after a lease request was sent. */
    WorkerState withLeaseRequested(long nowMillis) {
        return with(new Lease(TreePVector.empty(), nowMillis, lease.grantedRequestSentAtMillis()));
    }

    /**
     * Returns this worker with {@code current} as its listing on the VM list; if {@code current} is
     * empty, the worker is marked as leaving.
     */
    WorkerState withListing(Optional<WorkerListing> current) {
        boolean isLeaving = current.map(WorkerListing::leaving).orElse(true);
        Properties updated = new Properties(incarnation(), isLeaving, capacity(), slots());
        return new WorkerState(
                current.orElse(listing), phase, updated, health, load, reserved, lease);
    }

    /** Returns this worker with {@code task} to be acknowledged by the next renewal. */
    WorkerState withAcknowledgement(TaskId task) {
        PVector<TaskId> pendingAcknowledgements = lease.acknowledgements().plus(task);
        return with(
                new Lease(
                        pendingAcknowledgements,
                        lease.requestedAtMillis(),
                        lease.grantedRequestSentAtMillis()));
    }
}
