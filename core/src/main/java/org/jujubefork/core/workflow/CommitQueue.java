package org.jujubefork.core.workflow;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The changes to write to the store. Only one commit is in flight at a time, and each is
 * conditional on the revision of the previous one, so that a commit that reaches the store late
 * changes nothing.
 *
 * @param dirtyJobs the identifiers of the jobs with unwritten changes, in the order of their first
 *     unwritten change
 * @param dirtyJobSet the same identifiers as a set
 * @param pendingAnswers the requests that are answered once the changes to their jobs are stored
 * @param inFlight the commit in flight, if any
 * @param nextBatch the batch number of the next commit
 * @param previousRevision the revision of the last commit in this term; before the first commit,
 *     the revision of the leader's record
 * @param sentAt when the last commit was sent, -1 before the first commit
 * @param fleetDirty whether the set of workers has changed
 * @param storedFleet the workers in the stored set, with the incarnation that the set names, or 0
 * @param silentWorkersDirty whether the record of silent workers has to be written
 * @param storedSilentWorkers the workers in the stored record of silent workers
 * @param jobRemovals the jobs that have ended and whose records are still in the store
 * @param finishedBuckets the finished jobs by the number of their store record
 */
public record CommitQueue(
        PVector<String> dirtyJobs,
        PSet<String> dirtyJobSet,
        PVector<PendingAnswer> pendingAnswers,
        Optional<InFlight> inFlight,
        long nextBatch,
        long previousRevision,
        long sentAt,
        boolean fleetDirty,
        PMap<String, Long> storedFleet,
        boolean silentWorkersDirty,
        PSet<String> storedSilentWorkers,
        PVector<String> jobRemovals,
        PMap<Long, PMap<String, FinishedJob>> finishedBuckets) {
    /** A queue without changes to write. */
    public static final CommitQueue NONE =
            new CommitQueue(
                    TreePVector.empty(),
                    HashTreePSet.empty(),
                    TreePVector.empty(),
                    Optional.empty(),
                    1,
                    0,
                    -1,
                    false,
                    HashTreePMap.empty(),
                    false,
                    HashTreePSet.empty(),
                    TreePVector.empty(),
                    HashTreePMap.empty());

    /**
     * A request that is answered once the changes to a job are stored.
     *
     * @param requestId the number of the request
     * @param job the identifier of the job
     */
    public record PendingAnswer(long requestId, String job) {}

    /**
     * The commit in flight.
     *
     * @param commit the commit
     * @param jobs the jobs that it writes
     * @param pendingAnswers the requests that are answered once it is stored
     * @param watermarks the completions that are durable once it is stored, by worker
     * @param fleet the set of workers that it writes, with the incarnations that it names; empty if
     *     it does not write the set
     * @param silentWorkers the silent workers that it records, empty if it does not write that
     *     record
     */
    public record InFlight(
            WorkflowEffect.Commit commit,
            PVector<String> jobs,
            PVector<PendingAnswer> pendingAnswers,
            PMap<String, CompletionWatermark> watermarks,
            Optional<PMap<String, Long>> fleet,
            Optional<PSet<String>> silentWorkers) {}

    /**
     * Stands for all completions of a worker's incarnation up to a sequence number.
     *
     * @param born the start of the incarnation in Unix milliseconds
     * @param sequence the highest sequence number
     */
    public record CompletionWatermark(long born, long sequence) {}

    /**
     * Returns a copy for a new leader that has read the store.
     *
     * @param revision the revision of the leader's record
     * @param newStoredFleet the workers in the stored set, with the incarnations that it names
     * @param silentWorkers the workers whose runs the previous leader has recorded
     * @param newJobRemovals the jobs that have ended and whose records are still in the store
     * @param storedBuckets the finished jobs by the number of their store record
     */
    public CommitQueue recovered(
            long revision,
            PMap<String, Long> newStoredFleet,
            PSet<String> silentWorkers,
            PVector<String> newJobRemovals,
            PMap<Long, PMap<String, FinishedJob>> storedBuckets) {
        Builder next = new Builder(this);
        next.previousRevision = revision;
        next.storedFleet = newStoredFleet;
        next.storedSilentWorkers = silentWorkers;
        // The record counts only if the newest leader has written it.
        next.silentWorkersDirty = !silentWorkers.isEmpty();
        next.jobRemovals = newJobRemovals;
        next.finishedBuckets = storedBuckets;
        return next.build();
    }

    /**
     * Returns all unanswered requests: those that wait for the commit in flight and those that wait
     * for a later commit.
     */
    public PVector<PendingAnswer> allPendingAnswers() {
        return inFlight.map(f -> f.pendingAnswers().plusAll(pendingAnswers)).orElse(pendingAnswers);
    }

    /** Returns whether the commit in flight writes {@code job}. */
    public boolean isInFlight(String job) {
        return inFlight.map(f -> f.jobs().contains(job)).orElse(false);
    }

    /**
     * Returns a copy in which {@code job} is marked as changed, so that the next commit writes it.
     */
    public CommitQueue markDirty(String job) {
        if (dirtyJobSet.contains(job)) {
            return this;
        }
        Builder next = new Builder(this);
        next.dirtyJobs = dirtyJobs.plus(job);
        next.dirtyJobSet = dirtyJobSet.plus(job);
        return next.build();
    }

    /**
     * Returns a copy in which {@code requestId} is answered after the next commit that writes
     * {@code job}.
     */
    public CommitQueue withPendingAnswer(long requestId, String job) {
        Builder next = new Builder(this);
        next.pendingAnswers = pendingAnswers.plus(new PendingAnswer(requestId, job));
        return next.build();
    }

    /**
     * Returns a copy in which the set of workers is marked as changed, so that the next commit
     * writes it.
     */
    public CommitQueue withFleetDirty() {
        Builder next = new Builder(this);
        next.fleetDirty = true;
        return next.build();
    }

    /** Returns a copy in which the next commit writes the record of silent workers. */
    public CommitQueue withSilentWorkersDirty() {
        Builder next = new Builder(this);
        next.silentWorkersDirty = true;
        return next.build();
    }

    /**
     * Returns a copy with {@code write} as the commit in flight, sent at {@code at}, and with the
     * given remaining changes and answers.
     */
    public CommitQueue sent(
            InFlight write,
            PVector<String> remainingDirtyJobs,
            PVector<PendingAnswer> remainingAnswers,
            PMap<Long, PMap<String, FinishedJob>> newFinishedBuckets,
            long at) {
        Builder next = new Builder(this);
        next.dirtyJobs = remainingDirtyJobs;
        next.dirtyJobSet = HashTreePSet.from(remainingDirtyJobs);
        next.pendingAnswers = remainingAnswers;
        next.inFlight = Optional.of(write);
        next.nextBatch = nextBatch + 1;
        next.sentAt = at;
        next.fleetDirty = fleetDirty && write.fleet().isEmpty();
        next.silentWorkersDirty = silentWorkersDirty && write.silentWorkers().isEmpty();
        next.finishedBuckets = newFinishedBuckets;
        return next.build();
    }

    /**
     * Returns a copy without a commit in flight, after that commit was stored at {@code revision}.
     */
    public CommitQueue stored(long revision) {
        PMap<String, Long> fleet = inFlight.flatMap(InFlight::fleet).orElse(storedFleet);
        Builder next = new Builder(this);
        next.inFlight = Optional.empty();
        next.previousRevision = revision;
        next.storedFleet = fleet;
        next.storedSilentWorkers = newestSilentWorkers();
        return next.build();
    }

    /**
     * Returns a copy in which the records of the ended {@code job} are to be removed from the
     * store.
     */
    public CommitQueue withJobRemoval(String job) {
        Builder next = new Builder(this);
        next.jobRemovals = jobRemovals.plus(job);
        return next.build();
    }

    /** Returns a copy in which the records of {@code job} no longer have to be removed. */
    public CommitQueue withoutJobRemoval(String job) {
        Builder next = new Builder(this);
        next.jobRemovals = jobRemovals.minus(job);
        return next.build();
    }

    /** Returns a copy with {@code other} as the finished jobs by store record. */
    public CommitQueue withFinishedBuckets(PMap<Long, PMap<String, FinishedJob>> other) {
        Builder next = new Builder(this);
        next.finishedBuckets = other;
        return next.build();
    }

    /**
     * Returns whether the stored set of workers contains {@code worker} and will still contain it
     * after the commit in flight.
     */
    public boolean isWorkerRecorded(String worker) {
        return storedFleet.containsKey(worker)
                && inFlight.flatMap(InFlight::fleet).map(f -> f.containsKey(worker)).orElse(true);
    }

    /**
     * Returns the incarnation of {@code worker} that the newest set of workers, stored or in
     * flight, names; 0 if it names none.
     */
    long recordedBorn(String worker) {
        return inFlight.flatMap(InFlight::fleet).orElse(storedFleet).getOrDefault(worker, 0L);
    }

    /**
     * Returns whether the stored set contains {@code worker} without naming its incarnation, before
     * and after the commit in flight.
     */
    boolean isRecordedWithoutIncarnation(String worker) {
        return isWorkerRecorded(worker)
                && storedFleet.get(worker) == 0
                && recordedBorn(worker) == 0;
    }

    /** Returns the silent workers that the newest commit, stored or in flight, has recorded. */
    public PSet<String> newestSilentWorkers() {
        return inFlight.flatMap(InFlight::silentWorkers).orElse(storedSilentWorkers);
    }

    /**
     * Returns whether runs may be started on {@code worker}: the stored set of workers contains it,
     * and it is not recorded as silent, before and after the commit in flight.
     */
    public boolean isOpenForStarts(String worker) {
        return isWorkerRecorded(worker)
                && !storedSilentWorkers.contains(worker)
                && !newestSilentWorkers().contains(worker);
    }

    /**
     * Returns whether the commit in flight has been unanswered for longer than the stall timeout.
     */
    public boolean isStalled(long now) {
        return inFlight.isPresent() && now - sentAt > WorkflowLimits.STORE_STALL_TIMEOUT_MILLIS;
    }

    /**
     * Returns a copy without unsent changes to {@code jobs} and without the requests that wait for
     * them.
     */
    public CommitQueue withoutJobs(PSet<String> jobs) {
        Builder next = new Builder(this);
        next.dirtyJobs = dirtyJobs.minusAll(jobs);
        next.dirtyJobSet = dirtyJobSet.minusAll(jobs);
        next.pendingAnswers =
                TreePVector.from(
                        pendingAnswers.stream().filter(a -> !jobs.contains(a.job())).toList());
        return next.build();
    }

    /** Returns whether the set of workers or the record of silent workers has to be written. */
    public boolean hasWorkerChanges() {
        return fleetDirty || silentWorkersDirty;
    }

    /** Returns whether there are no changes to write and no commit is in flight. */
    public boolean isIdle() {
        return dirtyJobs.isEmpty() && inFlight.isEmpty() && !hasWorkerChanges();
    }

    /** Mutable copy of the components, used to build a changed instance. */
    private static final class Builder {
        private PVector<String> dirtyJobs;
        private PSet<String> dirtyJobSet;
        private PVector<PendingAnswer> pendingAnswers;
        private Optional<InFlight> inFlight;
        private long nextBatch;
        private long previousRevision;
        private long sentAt;
        private boolean fleetDirty;
        private PMap<String, Long> storedFleet;
        private boolean silentWorkersDirty;
        private PSet<String> storedSilentWorkers;
        private PVector<String> jobRemovals;
        private PMap<Long, PMap<String, FinishedJob>> finishedBuckets;

        Builder(CommitQueue from) {
            this.dirtyJobs = from.dirtyJobs();
            this.dirtyJobSet = from.dirtyJobSet();
            this.pendingAnswers = from.pendingAnswers();
            this.inFlight = from.inFlight();
            this.nextBatch = from.nextBatch();
            this.previousRevision = from.previousRevision();
            this.sentAt = from.sentAt();
            this.fleetDirty = from.fleetDirty();
            this.storedFleet = from.storedFleet();
            this.silentWorkersDirty = from.silentWorkersDirty();
            this.storedSilentWorkers = from.storedSilentWorkers();
            this.jobRemovals = from.jobRemovals();
            this.finishedBuckets = from.finishedBuckets();
        }

        CommitQueue build() {
            return new CommitQueue(
                    dirtyJobs,
                    dirtyJobSet,
                    pendingAnswers,
                    inFlight,
                    nextBatch,
                    previousRevision,
                    sentAt,
                    fleetDirty,
                    storedFleet,
                    silentWorkersDirty,
                    storedSilentWorkers,
                    jobRemovals,
                    finishedBuckets);
        }
    }
}
