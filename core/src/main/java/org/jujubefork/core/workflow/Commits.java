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
 * @param buckets numbers of the records of ended jobs that the store holds
 */
public record Commits(
        PVector<String> dirty,
        PSet<String> dirtySet,
        PVector<PendingAnswer> answers,
        Optional<InFlight> inFlight,
        long nextBatch,
        long previousRevision,
        long sentAt,
        boolean fleetDirty,
        PSet<String> fleetStored,
        PSet<Long> buckets) {
    /** Nothing to write. */
    public static final Commits NONE =
            new Commits(
                    TreePVector.empty(),
                    HashTreePSet.empty(),
                    TreePVector.empty(),
                    Optional.empty(),
                    1,
                    0,
                    -1,
                    false,
                    HashTreePSet.empty(),
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
            PMap<String, EndMark> ends,
            Optional<PSet<String>> fleet) {}

    /**
     * Ends of a worker.
     *
     * @param born the incarnation
     * @param number the highest number
     */
    public record EndMark(long born, long number) {}

    /** Returns this for a new leader that has read the store. */
    public Commits recovered(long revision, PSet<String> fleet, PSet<Long> finishedBuckets) {
        return new Commits(
                dirty,
                dirtySet,
                answers,
                inFlight,
                nextBatch,
                revision,
                sentAt,
                fleetDirty,
                fleet,
                finishedBuckets);
    }

    /** Returns the calls that wait for a write, sent or not. */
    public PVector<PendingAnswer> pendingAnswers() {
        return inFlight.map(f -> f.answers().plusAll(answers)).orElse(answers);
    }

    /** Returns this with {@code job} to be written. */
    public Commits dirty(String job) {
        if (dirtySet.contains(job)) {
            return this;
        }
        return new Commits(
                dirty.plus(job),
                dirtySet.plus(job),
                answers,
                inFlight,
                nextBatch,
                previousRevision,
                sentAt,
                fleetDirty,
                fleetStored,
                buckets);
    }

    /** Returns this with a call that waits for the next write of {@code job}. */
    public Commits answering(long request, String job) {
        return new Commits(
                dirty,
                dirtySet,
                answers.plus(new PendingAnswer(request, job)),
                inFlight,
                nextBatch,
                previousRevision,
                sentAt,
                fleetDirty,
                fleetStored,
                buckets);
    }

    /** Returns this with the set of workers to be written. */
    public Commits withFleetDirty() {
        return new Commits(
                dirty,
                dirtySet,
                answers,
                inFlight,
                nextBatch,
                previousRevision,
                sentAt,
                true,
                fleetStored,
                buckets);
    }

    /** Returns this with {@code write} under way and the rest still to be written. */
    public Commits sent(
            InFlight write,
            PVector<String> dirtyLeft,
            PVector<PendingAnswer> answersLeft,
            PSet<Long> newBuckets,
            long at) {
        return new Commits(
                dirtyLeft,
                HashTreePSet.from(dirtyLeft),
                answersLeft,
                Optional.of(write),
                nextBatch + 1,
                previousRevision,
                at,
                fleetDirty && write.fleet().isEmpty(),
                fleetStored,
                newBuckets);
    }

    /** Returns this with the write under way stored at {@code revision}. */
    public Commits stored(long revision) {
        PSet<String> fleet = inFlight.flatMap(InFlight::fleet).orElse(fleetStored);
        return new Commits(
                dirty,
                dirtySet,
                answers,
                Optional.empty(),
                nextBatch,
                revision,
                sentAt,
                fleetDirty,
                fleet,
                buckets);
    }

    /** Returns this with other records of ended jobs in the store. */
    public Commits withBuckets(PSet<Long> other) {
        return new Commits(
                dirty,
                dirtySet,
                answers,
                inFlight,
                nextBatch,
                previousRevision,
                sentAt,
                fleetDirty,
                fleetStored,
                other);
    }

    /** Returns whether the store lists {@code worker} as used, and goes on to do so. */
    public boolean listsWorker(String worker) {
        return fleetStored.contains(worker)
                && inFlight.flatMap(InFlight::fleet).map(f -> f.contains(worker)).orElse(true);
    }

    /** Returns whether the store has not answered the write under way for too long. */
    public boolean isStalled(long now) {
        return inFlight.isPresent() && now - sentAt > Bounds.STORE_PATIENCE_MILLIS;
    }

    /** Returns this without what is still to be written of {@code jobs} and their calls. */
    public Commits without(PSet<String> jobs) {
        return new Commits(
                dirty.minusAll(jobs),
                dirtySet.minusAll(jobs),
                TreePVector.from(answers.stream().filter(a -> !jobs.contains(a.job())).toList()),
                inFlight,
                nextBatch,
                previousRevision,
                sentAt,
                fleetDirty,
                fleetStored,
                buckets);
    }

    /** Returns whether nothing is to be written or under way. */
    public boolean isIdle() {
        return dirty.isEmpty() && inFlight.isEmpty() && !fleetDirty;
    }
}
