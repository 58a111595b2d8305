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

/** A worker that keeps an epoch and runs tasks under a lease. */
final class FakeWorker {
    final WorkerListing listing;
    final Map<TaskId, TaskSpec> running = new TreeMap<>();
    final Map<TaskId, EndedTask> ended = new TreeMap<>();
    final Set<String> unreachableFrom = new HashSet<>();
    private final Set<TaskId> known = new HashSet<>();
    long incarnation = 1;
    Epoch epoch = Epoch.of(0, EntryId.of("nobody", 0));
    private long leaseUntil = Long.MIN_VALUE;

    FakeWorker(WorkerListing listing) {
        this.listing = listing;
    }

    boolean isReachableFrom(String entry) {
        return !unreachableFrom.contains(entry) && !unreachableFrom.contains("*");
    }

    boolean runs(JobTask what) {
        return running.values().stream()
                .map(s -> s.job().orElseThrow())
                .anyMatch(j -> j.job().equals(what.job()) && j.index() == what.index());
    }

    /** Grants the lease, or returns the epoch with which it refuses. */
    Optional<Optional<Epoch>> lease(Epoch by, boolean acquire, long ttl, long now) {
        expire(now);
        if (epoch.isAbove(by)) {
            return Optional.of(Optional.of(epoch));
        }
        if (!acquire && (!epoch.equals(by) || leaseUntil <= now)) {
            return Optional.of(Optional.empty());
        }
        epoch = by;
        leaseUntil = now + ttl;
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

    Optional<StartRefusal> start(Epoch by, long of, TaskSpec spec, long now) {
        expire(now);
        if (!epoch.equals(by) || leaseUntil <= now) {
            return Optional.of(StartRefusal.STALE_EPOCH);
        }
        if (of != incarnation) {
            return Optional.of(StartRefusal.WRONG_INCARNATION);
        }
        Resources used =
                running.values().stream()
                        .map(TaskSpec::size)
                        .reduce(Resources.ZERO, Resources::plus);
        if (!used.plus(spec.size()).fitsIn(listing.capacity())) {
            return Optional.of(StartRefusal.NO_CAPACITY);
        }
        if (!known.add(spec.id())) {
            return Optional.of(StartRefusal.DUPLICATE);
        }
        running.put(spec.id(), spec);
        return Optional.empty();
    }

    boolean stop(Epoch by, TaskId task) {
        if (epoch.isAbove(by)) {
            return false;
        }
        known.add(task);
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

    /** Ends the tasks of a worker that has not heard from an owner for the TTL. */
    void expire(long now) {
        if (leaseUntil <= now) {
            List<TaskId> all = new ArrayList<>(running.keySet());
            all.forEach(t -> end(t, EndReason.LEASE_EXPIRED));
        }
    }

    void restart() {
        incarnation++;
        running.clear();
        ended.clear();
        known.clear();
        epoch = Epoch.of(0, EntryId.of("nobody", 0));
        leaseUntil = Long.MIN_VALUE;
    }
}
