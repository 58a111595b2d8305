package org.jujubefork.core.testing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.TreePVector;

/** In-memory worker that checks epochs, leases and its capacity. */
public final class FakeWorker {
    /**
     * A running task.
     *
     * @param spec the task as it was started
     * @param endsAtMillis when the task completes unless it is stopped
     * @param onCompletion called when a request completes
     */
    record Execution(TaskSpec spec, long endsAtMillis, Runnable onCompletion) {}

    private final WorkerListing listing;
    private final TreeMap<TaskId, Execution> running = new TreeMap<>();
    private final List<EndedTask> ended = new ArrayList<>();
    private final Set<TaskId> stoppedIds = new HashSet<>();
    private Optional<Epoch> epoch = Optional.empty();
    private long leaseExpiresAtMillis;
    private long incarnation = 1;
    private boolean fencingDisabled;

    FakeWorker(WorkerListing listing) {
        this.listing = listing;
    }

    public WorkerListing listing() {
        return listing;
    }

    public Optional<Epoch> epoch() {
        return epoch;
    }

    public Collection<TaskSpec> tasks() {
        return running.values().stream().map(Execution::spec).toList();
    }

    Resources usedCapacity() {
        return tasks().stream().map(TaskSpec::size).reduce(Resources.ZERO, Resources::plus);
    }

    /** Grants the lease and returns a report; empty if a higher epoch was accepted before. */
    Optional<WorkerReport> grantLease(Epoch requestedEpoch, long ttlMillis, long nowMillis) {
        if (!fencingDisabled && epoch.isPresent() && epoch.get().isAbove(requestedEpoch)) {
            return Optional.empty();
        }
        epoch = Optional.of(requestedEpoch);
        leaseExpiresAtMillis = nowMillis + ttlMillis;
        var tasks = running.values().stream();
        return Optional.of(
                new WorkerReport(
                        incarnation,
                        false,
                        listing.capacity(),
                        listing.slots(),
                        TreePVector.from(
                                tasks.map(t -> new ReportedTask(t.spec(), t.spec().size(), 0))
                                        .toList()),
                        TreePVector.from(ended)));
    }

    boolean holdsLeaseUnder(Epoch requestedEpoch, long nowMillis) {
        return fencingDisabled
                || (epoch.equals(Optional.of(requestedEpoch)) && nowMillis < leaseExpiresAtMillis);
    }

    void acknowledge(Collection<TaskId> ids) {
        ended.removeIf(e -> ids.contains(e.spec().id()));
    }

    /** Starts a task; returns the reason if the worker refuses. */
    Optional<StartRefusal> start(
            Epoch requestedEpoch, long expectedIncarnation, Execution task, long nowMillis) {
        if (!holdsLeaseUnder(requestedEpoch, nowMillis)) {
            return Optional.of(StartRefusal.STALE_EPOCH);
        }
        if (expectedIncarnation != incarnation) {
            return Optional.of(StartRefusal.WRONG_INCARNATION);
        }
        if (running.containsKey(task.spec().id()) || stoppedIds.contains(task.spec().id())) {
            return Optional.of(StartRefusal.DUPLICATE);
        }
        if (!usedCapacity().plus(task.spec().size()).fitsIn(listing.capacity())) {
            return Optional.of(StartRefusal.NO_CAPACITY);
        }
        running.put(task.spec().id(), task);
        return Optional.empty();
    }

    /**
     * Stops a task; a start command for it that arrives later is refused. Returns false if the
     * worker has another epoch.
     */
    boolean stop(Epoch requestedEpoch, TaskId id) {
        if (!epoch.equals(Optional.of(requestedEpoch))) {
            return false;
        }
        stoppedIds.add(id);
        Execution task = running.remove(id);
        if (task != null) {
            ended.add(new EndedTask(task.spec(), EndReason.STOPPED, "", 0));
        }
        return true;
    }

    /** Completes tasks whose time has come, and stops all tasks if the lease has expired. */
    void advance(long nowMillis) {
        boolean isLeaseExpired = nowMillis >= leaseExpiresAtMillis;
        Iterator<Execution> tasks = running.values().iterator();
        while (tasks.hasNext()) {
            Execution task = tasks.next();
            if (isLeaseExpired || nowMillis >= task.endsAtMillis()) {
                tasks.remove();
                EndReason reason = isLeaseExpired ? EndReason.LEASE_EXPIRED : EndReason.SUCCEEDED;
                ended.add(new EndedTask(task.spec(), reason, "", 1));
                if (!isLeaseExpired && task.spec().kind() == WorkKind.LOOKUP) {
                    task.onCompletion().run();
                }
            }
        }
    }

    /**
     * Makes the worker accept any epoch, so that tests can show that the invariant checks detect
     * this.
     */
    public void disableFencing() {
        fencingDisabled = true;
    }

    /** Restarts the worker, which loses its tasks and its epoch. */
    public void restart() {
        running.clear();
        ended.clear();
        epoch = Optional.empty();
        incarnation++;
    }
}
