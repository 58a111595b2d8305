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
 * @param dirty the jobs that changed, in order
 * @param dirtySet the same jobs
 * @param answers calls that are answered once what changed is stored
 * @param inFlight the write under way
 * @param nextBatch the number of the next write
 * @param previousRevision the revision of the last write in this term; before the first, that of
 *     the leader's record
 * @param sentAt when the last write was sent
 * @param fleetDirty whether the set of workers has changed
 * @param fleetStored the workers that the store lists as used
 * @param removals jobs that have ended and whose records are still in the store
 * @param buckets numbers of the records of ended jobs that the store holds
 */
public record CommitQueue(
        PVector<String> dirty,
        PSet<String> dirtySet,
        PVector<PendingAnswer> answers,
        Optional<InFlight> inFlight,
        long nextBatch,
        long previousRevision,
        long sentAt,
        boolean fleetDirty,
        PSet<String> fleetStored,
        PVector<String> removals,
        PSet<Long> buckets) {
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
     * @param effect the write
     * @param jobs the jobs in it
     * @param answers the calls that wait for it
     * @param ends the ends that are stored with it: the highest number of each worker, with the
     *     incarnation of the worker
     * @param fleet the workers that are listed as used with it, if they are in it
     */
    public record InFlight(
            WorkflowEffect.Commit effect,
            PVector<String> jobs,
            PVector<PendingAnswer> answers,
            PMap<String, CompletionWatermark> ends,
            Optional<PSet<String>> fleet) {}

    /**
     * Ends of a worker.
     *
     * @param born the incarnation
     * @param number the highest number
     */
    public record CompletionWatermark(long born, long number) {}

    /**
     * Returns this for a new leader that has read the store.
     *
     * @param ended jobs that have ended and whose records are still there
     */
    public CommitQueue recovered(
            long revision, PSet<String> fleet, PVector<String> ended, PSet<Long> finishedBuckets) {
        Builder next = new Builder(this);
        next.previousRevision = revision;
        next.fleetStored = fleet;
        next.removals = ended;
        next.buckets = finishedBuckets;
        return next.build();
    }

    /** Returns the calls that wait for a write, sent or not. */
    public PVector<PendingAnswer> pendingAnswers() {
        return inFlight.map(f -> f.answers().plusAll(answers)).orElse(answers);
    }

    /** Returns this with {@code job} to be written. */
    public CommitQueue dirty(String job) {
        if (dirtySet.contains(job)) {
            return this;
        }
        Builder next = new Builder(this);
        next.dirty = dirty.plus(job);
        next.dirtySet = dirtySet.plus(job);
        return next.build();
    }

    /** Returns this with a call that waits for the next write of {@code job}. */
    public CommitQueue answering(long request, String job) {
        Builder next = new Builder(this);
        next.answers = answers.plus(new PendingAnswer(request, job));
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
            PVector<String> dirtyLeft,
            PVector<PendingAnswer> answersLeft,
            PSet<Long> newBuckets,
            long at) {
        Builder next = new Builder(this);
        next.dirty = dirtyLeft;
        next.dirtySet = HashTreePSet.from(dirtyLeft);
        next.answers = answersLeft;
        next.inFlight = Optional.of(write);
        next.nextBatch = nextBatch + 1;
        next.sentAt = at;
        next.fleetDirty = fleetDirty && write.fleet().isEmpty();
        next.buckets = newBuckets;
        return next.build();
    }

    /** Returns this with the write under way stored at {@code revision}. */
    public CommitQueue stored(long revision) {
        PSet<String> fleet = inFlight.flatMap(InFlight::fleet).orElse(fleetStored);
        Builder next = new Builder(this);
        next.inFlight = Optional.empty();
        next.previousRevision = revision;
        next.fleetStored = fleet;
        return next.build();
    }

    /** Returns this with the records of {@code job}, which has ended, to be removed. */
    public CommitQueue removing(String job) {
        Builder next = new Builder(this);
        next.removals = removals.plus(job);
        return next.build();
    }

    /** Returns this with the records of {@code job} removed. */
    public CommitQueue removed(String job) {
        Builder next = new Builder(this);
        next.removals = removals.minus(job);
        return next.build();
    }

    /** Returns this with other records of ended jobs in the store. */
    public CommitQueue withBuckets(PSet<Long> other) {
        Builder next = new Builder(this);
        next.buckets = other;
        return next.build();
    }

    /** Returns whether the store lists {@code worker} as used, and goes on to do so. */
    public boolean listsWorker(String worker) {
        return fleetStored.contains(worker)
                && inFlight.flatMap(InFlight::fleet).map(f -> f.contains(worker)).orElse(true);
    }

    /** Returns whether the store has not answered the write under way for too long. */
    public boolean isStalled(long now) {
        return inFlight.isPresent() && now - sentAt > WorkflowLimits.STORE_PATIENCE_MILLIS;
    }

    /** Returns this without what is still to be written of {@code jobs} and their calls. */
    public CommitQueue without(PSet<String> jobs) {
        Builder next = new Builder(this);
        next.dirty = dirty.minusAll(jobs);
        next.dirtySet = dirtySet.minusAll(jobs);
        next.answers =
                TreePVector.from(answers.stream().filter(a -> !jobs.contains(a.job())).toList());
        return next.build();
    }

    /** Returns whether nothing is to be written or under way. */
    public boolean isIdle() {
        return dirty.isEmpty() && inFlight.isEmpty() && !fleetDirty;
    }

    /** Holds the components of a copy while they are changed. */
    private static final class Builder {
        private PVector<String> dirty;
        private PSet<String> dirtySet;
        private PVector<PendingAnswer> answers;
        private Optional<InFlight> inFlight;
        private long nextBatch;
        private long previousRevision;
        private long sentAt;
        private boolean fleetDirty;
        private PSet<String> fleetStored;
        private PVector<String> removals;
        private PSet<Long> buckets;

        Builder(CommitQueue from) {
            this.dirty = from.dirty();
            this.dirtySet = from.dirtySet();
            this.answers = from.answers();
            this.inFlight = from.inFlight();
            this.nextBatch = from.nextBatch();
            this.previousRevision = from.previousRevision();
            this.sentAt = from.sentAt();
            this.fleetDirty = from.fleetDirty();
            this.fleetStored = from.fleetStored();
            this.removals = from.removals();
            this.buckets = from.buckets();
        }

        CommitQueue build() {
            return new CommitQueue(
                    dirty,
                    dirtySet,
                    answers,
                    inFlight,
                    nextBatch,
                    previousRevision,
                    sentAt,
                    fleetDirty,
                    fleetStored,
                    removals,
                    buckets);
        }
    }
}
