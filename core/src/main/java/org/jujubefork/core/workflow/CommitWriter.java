package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEffect.Entry;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Writes changes to the store in batches of several jobs. Completions are acknowledged to the
 * workers and requests are answered only when the commit that contains them is durable.
 */
final class CommitWriter {
    /**
     * Number of records of a commit that are reserved for finished jobs, the set of workers and the
     * silent workers. Finished jobs need few records, because all jobs that end in the same time
     * slice share one record. The job and progress records of an ended job are removed later, by
     * commits with records to spare, so that a slow store delays neither acceptances nor
     * completions.
     */
    private static final int RESERVED_RECORD_COUNT = 4;

    /** Number of records that are written for each job: the job itself and its progress. */
    private static final int RECORDS_PER_JOB = 2;

    /**
     * Time since the last commit after which a commit is sent even if it only removes records of
     * ended jobs.
     */
    private static final long REMOVAL_DELAY_MILLIS = 500;

    private static final int MAX_JOB_RECORD_COUNT =
            WorkflowLimits.MAX_RECORDS_PER_COMMIT - RESERVED_RECORD_COUNT;

    private CommitWriter() {}

    /** Sends the next commit if one is due and no commit is in flight. */
    static WorkflowTransition sendIfDue(WorkflowState state) {
        CommitQueue queue = state.commitQueue();
        long sinceLastCommit = state.now() - queue.sentAt();
        boolean hasChanges = !queue.dirtyJobs().isEmpty() || queue.hasWorkerChanges();
        boolean isDue =
                hasChanges
                        ? sinceLastCommit >= WorkflowLimits.MIN_COMMIT_INTERVAL_MILLIS
                        : !queue.jobRemovals().isEmpty() && sinceLastCommit >= REMOVAL_DELAY_MILLIS;
        if (queue.inFlight().isPresent() || !isDue) {
            return WorkflowTransition.of(state);
        }
        return write(state);
    }

    private static WorkflowTransition write(WorkflowState state) {
        CommitQueue queue = state.commitQueue();
        List<Entry> entries = new ArrayList<>();
        PVector<String> includedJobs = TreePVector.empty();
        PSet<Long> changedBuckets = HashTreePSet.empty();
        PMap<Long, PMap<String, FinishedJob>> buckets = queue.finishedBuckets();
        WorkflowState next = state;
        int recordCount = 0;
        for (String id : queue.dirtyJobs()) {
            Job job = next.jobs().get(id);
            recordCount += job != null && job.isActive() ? 1 : 0;
            if (recordCount > MAX_JOB_RECORD_COUNT) {
                break;
            }
            includedJobs = includedJobs.plus(id);
            if (job != null && job.isActive()) {
                entries.add(job.stored() ? new Entry.PutProgress(job) : new Entry.PutJob(job));
            } else if (job != null) {
                FinishedJob finishedJob =
                        new FinishedJob(id, job.queue(), job.status(), state.wallMillis());
                next = next.withFinished(next.finished().plus(id, finishedJob));
                buckets = withFinishedJob(buckets, finishedJob);
                changedBuckets = changedBuckets.plus(finishedJob.bucket());
            }
        }
        for (String endedJob : queue.jobRemovals()) {
            recordCount += RECORDS_PER_JOB;
            if (recordCount > MAX_JOB_RECORD_COUNT) {
                break;
            }
            entries.add(new Entry.RemoveJob(endedJob));
        }
        for (long bucket : changedBuckets) {
            entries.add(new Entry.PutFinished(bucket, List.copyOf(buckets.get(bucket).values())));
        }
        Optional<PMap<String, Long>> fleet = addFleet(next, entries);
        Optional<PSet<String>> silentWorkers = addSilentWorkers(next, entries);
        return send(next, entries, includedJobs, buckets, fleet, silentWorkers);
    }

    /** Returns {@code buckets} with {@code job} in its store record. */
    static PMap<Long, PMap<String, FinishedJob>> withFinishedJob(
            PMap<Long, PMap<String, FinishedJob>> buckets, FinishedJob job) {
        PMap<String, FinishedJob> jobs = buckets.getOrDefault(job.bucket(), HashTreePMap.empty());
        return buckets.plus(job.bucket(), jobs.plus(job.id(), job));
    }

    private static Optional<PMap<String, Long>> addFleet(WorkflowState state, List<Entry> entries) {
        if (!state.commitQueue().fleetDirty()) {
            return Optional.empty();
        }
        List<WorkerNode.Listing> listings =
                state.workers().values().stream()
                        .filter(w -> !w.isUnreachableAndIdle(state.now()))
                        .map(w -> w.listing().withBorn(Fleet.recordableBorn(state, w)))
                        .toList();
        entries.add(new Entry.PutFleet(listings));
        PMap<String, Long> fleet = HashTreePMap.empty();
        for (WorkerNode.Listing listing : listings) {
            fleet = fleet.plus(listing.id(), listing.born());
        }
        return Optional.of(fleet);
    }

    private static Optional<PSet<String>> addSilentWorkers(
            WorkflowState state, List<Entry> entries) {
        if (!state.commitQueue().silentWorkersDirty()) {
            return Optional.empty();
        }
        SilentWorkers silentWorkers = SilentWorkers.of(state);
        entries.add(new Entry.PutSilentWorkers(silentWorkers));
        return Optional.of(silentWorkers.workers());
    }

    private static WorkflowTransition send(
            WorkflowState state,
            List<Entry> entries,
            PVector<String> includedJobs,
            PMap<Long, PMap<String, FinishedJob>> finishedBuckets,
            Optional<PMap<String, Long>> fleet,
            Optional<PSet<String>> silentWorkers) {
        CommitQueue queue = state.commitQueue();
        PVector<String> remainingJobs = queue.dirtyJobs().minusAll(includedJobs);
        PSet<String> includedJobSet = HashTreePSet.from(includedJobs);
        PVector<CommitQueue.PendingAnswer> includedAnswers =
                TreePVector.from(
                        queue.pendingAnswers().stream()
                                .filter(a -> includedJobSet.contains(a.job()))
                                .toList());
        PMap<String, CommitQueue.CompletionWatermark> watermarks =
                remainingJobs.isEmpty() ? unstoredWatermarks(state) : HashTreePMap.empty();
        WorkflowEffect.Commit commit =
                new WorkflowEffect.Commit(
                        queue.nextBatch(), state.fence(), queue.previousRevision(), entries);
        CommitQueue.InFlight write =
                new CommitQueue.InFlight(
                        commit, includedJobs, includedAnswers, watermarks, fleet, silentWorkers);
        CommitQueue queueAfterSend =
                queue.sent(
                        write,
                        remainingJobs,
                        queue.pendingAnswers().minusAll(includedAnswers),
                        finishedBuckets,
                        state.now());
        return WorkflowTransition.of(state.with(queueAfterSend)).with(commit);
    }

    private static PMap<String, CommitQueue.CompletionWatermark> unstoredWatermarks(
            WorkflowState state) {
        PMap<String, CommitQueue.CompletionWatermark> watermarks = HashTreePMap.empty();
        for (WorkerNode node : state.workers().values()) {
            WorkerContact contact = node.contact();
            if (!contact.areCompletionsStored()) {
                watermarks =
                        watermarks.plus(
                                node.id(),
                                new CommitQueue.CompletionWatermark(
                                        contact.born(), contact.incarnation().processedSequence()));
            }
        }
        return watermarks;
    }

    /**
     * Acknowledges all processed completions if there is nothing to write: the completions then
     * have changed no job, or their changes are stored.
     */
    static WorkflowTransition acknowledgeAllIfIdle(WorkflowState state) {
        return WorkflowTransition.of(
                state.commitQueue().isIdle()
                        ? acknowledge(state, unstoredWatermarks(state))
                        : state);
    }

    /** Acknowledges the processed completions of {@code worker} if there is nothing to write. */
    static WorkflowTransition acknowledgeIfIdle(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        if (node == null || !state.commitQueue().isIdle()) {
            return WorkflowTransition.of(state);
        }
        return WorkflowTransition.of(
                withStoredSequence(state, node, node.contact().incarnation().processedSequence()));
    }

    private static WorkflowState acknowledge(
            WorkflowState state, PMap<String, CommitQueue.CompletionWatermark> watermarks) {
        WorkflowState next = state;
        for (String worker : watermarks.keySet()) {
            WorkerNode node = next.workers().get(worker);
            CommitQueue.CompletionWatermark watermark = watermarks.get(worker);
            if (node != null && node.contact().born() == watermark.born()) {
                next = withStoredSequence(next, node, watermark.sequence());
            }
        }
        return next;
    }

    private static WorkflowState withStoredSequence(
            WorkflowState state, WorkerNode node, long sequence) {
        WorkerContact contact = node.contact();
        return state.with(
                node.with(contact.with(contact.incarnation().withStoredSequence(sequence))));
    }

    static WorkflowTransition completed(WorkflowState state, WorkflowEvent.CommitCompleted event) {
        Optional<CommitQueue.InFlight> write = state.commitQueue().inFlight();
        if (write.isEmpty() || write.get().commit().batch() != event.batch()) {
            return WorkflowTransition.of(state);
        }
        return switch (event.result()) {
            case CommitResult.Stored stored -> stored(state, write.get(), stored.revision());
            case CommitResult.LostLeadership lost ->
                    Election.loseLeadership(state, "write-refused");
            case CommitResult.Retry retry ->
                    WorkflowTransition.of(state).with(write.get().commit());
        };
    }

    private static WorkflowTransition stored(
            WorkflowState state, CommitQueue.InFlight write, long revision) {
        WorkflowState next =
                acknowledge(state.with(state.commitQueue().stored(revision)), write.watermarks());
        // The stored commit proves that this entry was the leader when the commit was sent.
        next =
                next.with(
                        next.leadership()
                                .confirmed(
                                        next.leadership().leaderRecord(),
                                        next.commitQueue().sentAt()));
        for (Entry entry : write.commit().entries()) {
            if (entry instanceof Entry.PutJob put) {
                Job job = next.jobs().get(put.job().id());
                next = job == null ? next : next.with(job.asStored());
            } else if (entry instanceof Entry.RemoveJob removal) {
                next = next.with(next.commitQueue().withoutJobRemoval(removal.job()));
            }
        }
        for (String id : write.jobs()) {
            if (next.finished().containsKey(id) && next.jobs().containsKey(id)) {
                next =
                        next.withJobs(next.jobs().minus(id))
                                .with(next.commitQueue().withJobRemoval(id));
            }
        }
        WorkflowTransition result = WorkflowTransition.of(next.withPlacementDue(true));
        for (CommitQueue.PendingAnswer answer : write.pendingAnswers()) {
            result =
                    result.with(
                            new WorkflowEffect.Answer(
                                    answer.requestId(), new WorkflowEffect.Reply.Done()));
        }
        for (Entry entry : write.commit().entries()) {
            if (entry instanceof Entry.PutJob put) {
                result = result.with(jobAcceptedLog(put.job(), state.now()));
            }
        }
        return result;
    }

    private static WorkflowEffect jobAcceptedLog(Job job, long now) {
        return WorkflowEffect.LogEvent.of(
                "job-accepted",
                job.id(),
                "queue",
                job.queue(),
                "team",
                job.team(),
                "steps",
                job.definition().steps().size(),
                "within_rate",
                job.acceptance().withinShare(),
                "stored_ms",
                now - job.acceptedAt());
    }

    /** Removes finished jobs after their retention period. */
    static WorkflowTransition forgetOldJobs(WorkflowState state) {
        CommitQueue queue = state.commitQueue();
        // The finished-job record must outlive the job record; otherwise the next leader would run
        // the job again.
        if (queue.inFlight().isPresent()
                || queue.finishedBuckets().isEmpty()
                || !queue.jobRemovals().isEmpty()) {
            return WorkflowTransition.of(state);
        }
        long retainedSince = state.wallMillis() - WorkflowLimits.FINISHED_JOB_RETENTION_MILLIS;
        List<Long> expiredBuckets =
                queue.finishedBuckets().keySet().stream()
                        .filter(b -> b < FinishedJob.bucketOf(retainedSince))
                        .limit(WorkflowLimits.MAX_RECORDS_PER_COMMIT)
                        .toList();
        if (expiredBuckets.isEmpty() || !state.hasConfirmedLeadership()) {
            return WorkflowTransition.of(state);
        }
        PMap<String, FinishedJob> retainedJobs = state.finished();
        for (long bucket : expiredBuckets) {
            retainedJobs = retainedJobs.minusAll(queue.finishedBuckets().get(bucket).keySet());
        }
        List<Entry> entries = new ArrayList<>();
        expiredBuckets.forEach(b -> entries.add(new Entry.RemoveFinished(b)));
        return send(
                state.withFinished(retainedJobs),
                entries,
                TreePVector.empty(),
                queue.finishedBuckets().minusAll(expiredBuckets),
                Optional.empty(),
                Optional.empty());
    }
}
