package org.jujubefork.core.jobs;

import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.JobId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** An in-memory store of job records with compare-and-swap and a change log for watches. */
final class FakeStore {
    final TreeMap<JobId, StoredJob> jobs = new TreeMap<>();
    final TreeMap<Long, JobId> log = new TreeMap<>();
    long revision;
    long ledgerRevision;
    Ledger ledger = Ledger.EMPTY;
    boolean down;
    int writeCount;

    Optional<StoredJob> write(long expectedRevision, JobRecord record) {
        StoredJob current = jobs.get(record.id());
        if ((current == null ? 0 : current.revision()) != expectedRevision) {
            return Optional.empty();
        }
        writeCount++;
        StoredJob stored = new StoredJob(++revision, record);
        jobs.put(record.id(), stored);
        log.put(revision, record.id());
        return Optional.of(stored);
    }

    boolean delete(long expectedRevision, JobId job) {
        StoredJob current = jobs.get(job);
        if (current == null || current.revision() != expectedRevision) {
            return false;
        }
        jobs.remove(job);
        log.put(++revision, job);
        return true;
    }

    PVector<StoredJob> changedAfter(long revisionSeen) {
        PVector<StoredJob> changed = TreePVector.empty();
        for (JobId job : log.tailMap(revisionSeen, false).values()) {
            changed = jobs.containsKey(job) ? changed.plus(jobs.get(job)) : changed;
        }
        return changed;
    }

    PVector<JobId> removedAfter(long revisionSeen) {
        PVector<JobId> removed = TreePVector.empty();
        for (JobId job : log.tailMap(revisionSeen, false).values()) {
            removed = jobs.containsKey(job) ? removed : removed.plus(job);
        }
        return removed;
    }
}
