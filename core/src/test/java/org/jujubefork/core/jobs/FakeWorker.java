package org.jujubefork.core.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** A worker that runs tasks under a lease and rejects owners with a stale epoch. */
final class FakeWorker {
    final WorkerListing listing;
    final Map<TaskId, TaskSpec> running = new TreeMap<>();
    final Map<TaskId, EndedTask> ended = new TreeMap<>();
    final Set<String> unreachableFrom = new HashSet<>();
    private final Set<TaskId> knownIds = new HashSet<>();
    long incarnation = 1;
    Epoch epoch = Epoch.of(0, EntryId.of("nobody", 0));
    private long leaseUntilMillis = Long.MIN_VALUE;

    FakeWorker(WorkerListing listing) {
        this.listing = listing;
    }

    boolean isReachableFrom(String entry) {
        return !unreachableFrom.contains(entry) && !unreachableFrom.contains("*");
    }

    boolean runs(JobTask jobTask) {
        return running.values().stream()
                .map(s -> s.jobTask().orElseThrow())
                .anyMatch(j -> j.job().equals(jobTask.job()) && j.index() == jobTask.index());
    }

    /**
     * Requests a lease. Returns empty if it is granted. If it is refused, the outer value is
     * present: it contains the worker's newer epoch, or an empty value if there is no lease to
     * renew.
     */
    Optional<Optional<Epoch>> lease(
            Epoch requested, boolean acquire, long ttlMillis, long nowMillis) {
        expire(nowMillis);
        if (epoch.isAbove(requested)) {
            return Optional.of(Optional.of(epoch));
        }
        if (!acquire && (!epoch.equals(requested) || leaseUntilMillis <= nowMillis)) {
            return Optional.of(Optional.empty());
        }
        epoch = requested;
        leaseUntilMillis = nowMillis + ttlMillis;
        return Optional.empty();
    }

    WorkerReport report() {
        PVector<ReportedTask> tasks = TreePVector.empty();
        for (TaskSpec spec : running.values()) {
            tasks = tasks.plus(new ReportedTask(spec, spec.size(), 0.5));
        }
        return new WorkerReport(
                incarnation,
                false,
                listing.capacity(),
                listing.slots(),
                tasks,
                TreePVector.from(ended.values()));
    }

    Optional<StartRefusal> start(
            Epoch requested, long expectedIncarnation, TaskSpec spec, long nowMillis) {
        expire(nowMillis);
        if (!epoch.equals(requested) || leaseUntilMillis <= nowMillis) {
            return Optional.of(StartRefusal.STALE_EPOCH);
        }
        if (expectedIncarnation != incarnation) {
            return Optional.of(StartRefusal.WRONG_INCARNATION);
        }
        Resources used =
                running.values().stream()
                        .map(TaskSpec::size)
                        .reduce(Resources.ZERO, Resources::plus);
        if (!used.plus(spec.size()).fitsIn(listing.capacity())) {
            return Optional.of(StartRefusal.NO_CAPACITY);
        }
        if (!knownIds.add(spec.id())) {
            return Optional.of(StartRefusal.DUPLICATE);
        }
        running.put(spec.id(), spec);
        return Optional.empty();
    }

    boolean stop(Epoch requested, TaskId task) {
        if (epoch.isAbove(requested)) {
            return false;
        }
        knownIds.add(task);
        end(task, EndReason.STOPPED);
        return true;
    }

    boolean end(TaskId task, EndReason reason) {
        TaskSpec spec = running.remove(task);
        if (spec != null) {
            ended.put(task, new EndedTask(spec, reason, "message", 0.25));
        }
        return spec != null;
    }

    /** Ends all tasks if the lease has expired. */
    void expire(long nowMillis) {
        if (leaseUntilMillis <= nowMillis) {
            List<TaskId> all = new ArrayList<>(running.keySet());
            all.forEach(t -> end(t, EndReason.LEASE_EXPIRED));
        }
    }

    void restart() {
        incarnation++;
        running.clear();
        ended.clear();
        knownIds.clear();
        epoch = Epoch.of(0, EntryId.of("nobody", 0));
        leaseUntilMillis = Long.MIN_VALUE;
    }
}
