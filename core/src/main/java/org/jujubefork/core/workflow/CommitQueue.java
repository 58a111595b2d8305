package org.jujubefork.core.workflow;

import java.util.Optional;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What has to be written to the store. One write is under way at a time, and each has the revision
 * of the one before as a condition, so that a write that is carried out late changes nothing.
 *
 * @param dirtyJobs the jobs that changed, in order
 * @param dirtyJobSet the same jobs
 * @param pendingAnswers calls that are answered once what changed is stored
 * @param inFlight the write under way
 * @param nextBatch the number of the next write
 * @param previousRevision the revision of the last write in this term; before the first, that of
 *     the leader's record
 * @param sentAt when the last write was sent
 * @param fleetDirty whether the set of workers has changed
 * @param storedFleet the workers that the store lists as used
 * @param jobRemovals jobs that have ended and whose records are still in the store
 * @param finishedBuckets numbers of the records of ended jobs that the store holds
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
        PSet<String> storedFleet,
        PVector<String> jobRemovals,
        PSet<Long> finishedBuckets) {
    /** Nothing to write. */
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
                    HashTreePSet.empty(),
                    TreePVector.empty(),
                    HashTreePSet.empty());

    /**
     * A call that waits for a write.
     *
     * @param request the call
     * @param job the job that is written
     */
    public record PendingAnswer(long request, String job) {}

    /**
     * A write under way.
     *
     * @param commit the write
     * @param jobs the jobs in it
     * @param pendingAnswers the calls that wait for it
     * @param watermarks the ends that are stored with it: the highest number of each worker, with
     *     the incarnation of the worker
     * @param fleet the workers that are listed as used with it, if they are in it
     */
    public record InFlight(
            WorkflowEffect.Commit commit,
            PVector<String> jobs,
            PVector<PendingAnswer> pendingAnswers,
            PMap<String, CompletionWatermark> watermarks,
            Optional<PSet<String>> fleet) {}

    /**
     * Ends of a worker.
     *
     * @param incarnation the incarnation
     * @param sequence the highest number
     */
    public record CompletionWatermark(long incarnation, long sequence) {}

    /**
     * Returns this for a new leader that has read the store.
     *
     * @param newJobRemovals jobs that have ended and whose records are still there
     */
    public CommitQueue recovered(
            long revision,
            PSet<String> newStoredFleet,
            PVector<String> newJobRemovals,
            PSet<Long> storedBuckets) {
        Builder next = new Builder(this);
        next.previousRevision = revision;
        next.storedFleet = newStoredFleet;
        next.jobRemovals = newJobRemovals;
        next.finishedBuckets = storedBuckets;
        return next.build();
    }

    /** Returns the calls that wait for a write, sent or not. */
    public PVector<PendingAnswer> allPendingAnswers() {
        return inFlight.map(f -> f.pendingAnswers().plusAll(pendingAnswers)).orElse(pendingAnswers);
    }

    /** Returns this with {@code job} to be written. */
    public CommitQueue markDirty(String job) {
        if (dirtyJobSet.contains(job)) {
            return this;
        }
        Builder next = new Builder(this);
        next.dirtyJobs = dirtyJobs.plus(job);
        next.dirtyJobSet = dirtyJobSet.plus(job);
        return next.build();
    }

    /** Returns this with a call that waits for the next write of {@code job}. */
    public CommitQueue withPendingAnswer(long request, String job) {
        Builder next = new Builder(this);
        next.pendingAnswers = pendingAnswers.plus(new PendingAnswer(request, job));
        return next.build();
    }

    /** Returns this with the set of workers to be written. */
    public CommitQueue withFleetDirty() {
        Builder next = new Builder(this);
        next.fleetDirty = true;
        return next.build();
    }

    /** Returns this with {@code write} under way and the rest still to be written. */
    public CommitQueue sent(
            InFlight write,
            PVector<String> remainingDirtyJobs,
            PVector<PendingAnswer> remainingAnswers,
            PSet<Long> newFinishedBuckets,
            long at) {
        Builder next = new Builder(this);
        next.dirtyJobs = remainingDirtyJobs;
        next.dirtyJobSet = HashTreePSet.from(remainingDirtyJobs);
        next.pendingAnswers = remainingAnswers;
        next.inFlight = Optional.of(write);
        next.nextBatch = nextBatch + 1;
        next.sentAt = at;
        next.fleetDirty = fleetDirty && write.fleet().isEmpty();
        next.finishedBuckets = newFinishedBuckets;
        return next.build();
    }

    /** Returns this with the write under way stored at {@code revision}. */
    public CommitQueue stored(long revision) {
        PSet<String> fleet = inFlight.flatMap(InFlight::fleet).orElse(storedFleet);
        Builder next = new Builder(this);
        next.inFlight = Optional.empty();
        next.previousRevision = revision;
        next.storedFleet = fleet;
        return next.build();
    }

    /** Returns this with the records of {@code job}, which has ended, to be removed. */
    public CommitQueue withJobRemoval(String job) {
        Builder next = new Builder(this);
        next.jobRemovals = jobRemovals.plus(job);
        return next.build();
    }

    /** Returns this with the records of {@code job} removed. */
    public CommitQueue withoutJobRemoval(String job) {
        Builder next = new Builder(this);
        next.jobRemovals = jobRemovals.minus(job);
        return next.build();
    }

    /** Returns this with other records of ended jobs in the store. */
    public CommitQueue withFinishedBuckets(PSet<Long> other) {
        Builder next = new Builder(this);
        next.finishedBuckets = other;
        return next.build();
    }

    /** Returns whether the store lists {@code worker} as used, and goes on to do so. */
    public boolean isWorkerRecorded(String worker) {
        return storedFleet.contains(worker)
                && inFlight.flatMap(InFlight::fleet).map(f -> f.contains(worker)).orElse(true);
    }

    /** Returns whether the store has not answered the write under way for too long. */
    public boolean isStalled(long now) {
        return inFlight.isPresent() && now - sentAt > WorkflowLimits.STORE_STALL_TIMEOUT_MILLIS;
    }

    /** Returns this without what is still to be written of {@code jobs} and their calls. */
    public CommitQueue withoutJobs(PSet<String> jobs) {
        Builder next = new Builder(this);
        next.dirtyJobs = dirtyJobs.minusAll(jobs);
        next.dirtyJobSet = dirtyJobSet.minusAll(jobs);
        next.pendingAnswers =
                TreePVector.from(
                        pendingAnswers.stream().filter(a -> !jobs.contains(a.job())).toList());
        return next.build();
    }

    /** Returns whether nothing is to be written or under way. */
    public boolean isIdle() {
        return dirtyJobs.isEmpty() && inFlight.isEmpty() && !fleetDirty;
    }

    /** Holds the components of a copy while they are changed. */
    private static final class Builder {
        private PVector<String> dirtyJobs;
        private PSet<String> dirtyJobSet;
        private PVector<PendingAnswer> pendingAnswers;
        private Optional<InFlight> inFlight;
        private long nextBatch;
        private long previousRevision;
        private long sentAt;
        private boolean fleetDirty;
        private PSet<String> storedFleet;
        private PVector<String> jobRemovals;
        private PSet<Long> finishedBuckets;

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
                    jobRemovals,
                    finishedBuckets);
        }
    }
}
