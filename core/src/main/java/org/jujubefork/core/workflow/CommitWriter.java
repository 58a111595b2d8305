package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Collections;
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
 * Writes what changed to the store, several jobs at a time. Ends are acknowledged to the workers
 * and calls are answered only when the write that holds them is durable.
 */
final class CommitWriter {
    /**
     * Records that the jobs of one write leave free for ended jobs and the set of workers. A job
     * that ends takes none of its own: all that end together share one. Its other records are
     * removed in writes that have room, so that a slow store delays no acceptance and no end.
     */
    private static final int OTHER_RECORDS = 3;

    /** Records of a job: the job itself and its progress. */
    private static final int RECORDS_OF_JOB = 2;

    /** Time without a write after which one is sent only to remove records of ended jobs. */
    private static final long REMOVAL_PAUSE_MILLIS = 500;

    private static final int MOST_RECORDS = WorkflowLimits.COMMIT_RECORDS - OTHER_RECORDS;

    private CommitWriter() {}

    /** Sends the next write if something has changed and none is under way. */
    static WorkflowTransition flush(WorkflowState state) {
        CommitQueue commits = state.commits();
        long rest = state.now() - commits.sentAt();
        boolean changed = !commits.dirty().isEmpty() || commits.fleetDirty();
        boolean due =
                changed
                        ? rest >= WorkflowLimits.COMMIT_SPACING_MILLIS
                        : !commits.removals().isEmpty() && rest >= REMOVAL_PAUSE_MILLIS;
        if (commits.inFlight().isPresent() || !due) {
            return WorkflowTransition.of(commits.isIdle() ? noteAll(state) : state);
        }
        return write(state);
    }

    private static WorkflowTransition write(WorkflowState state) {
        CommitQueue commits = state.commits();
        List<Entry> entries = new ArrayList<>();
        PVector<String> taken = TreePVector.empty();
        PSet<Long> buckets = HashTreePSet.empty();
        WorkflowState next = state;
        int records = 0;
        for (String id : commits.dirty()) {
            Job job = next.jobs().get(id);
            records += job != null && job.isActive() ? 1 : 0;
            if (records > MOST_RECORDS) {
                break;
            }
            taken = taken.plus(id);
            if (job != null && job.isActive()) {
                entries.add(job.stored() ? new Entry.PutProgress(job) : new Entry.PutJob(job));
            } else if (job != null) {
                FinishedJob ended =
                        new FinishedJob(id, job.queue(), job.status(), state.wallMillis());
                next = next.withFinished(next.finished().plus(id, ended));
                buckets = buckets.plus(ended.bucket());
            }
        }
        for (String ended : commits.removals()) {
            records += RECORDS_OF_JOB;
            if (records > MOST_RECORDS) {
                break;
            }
            entries.add(new Entry.RemoveJob(ended));
        }
        addBuckets(next, entries, buckets);
        Optional<PSet<String>> fleet = addFleet(next, entries);
        return send(next, entries, taken, buckets, fleet);
    }

    private static void addBuckets(WorkflowState state, List<Entry> entries, PSet<Long> buckets) {
        for (long bucket : buckets) {
            entries.add(
                    new Entry.PutFinished(
                            bucket,
                            state.finished().values().stream()
                                    .filter(f -> f.bucket() == bucket)
                                    .toList()));
        }
    }

    private static Optional<PSet<String>> addFleet(WorkflowState state, List<Entry> entries) {
        if (!state.commits().fleetDirty()) {
            return Optional.empty();
        }
        List<WorkerNode.Listing> used =
                state.workers().values().stream()
                        .filter(w -> !w.isAbandoned(state.now()))
                        .map(WorkerNode::listing)
                        .toList();
        entries.add(new Entry.PutFleet(used));
        return Optional.of(HashTreePSet.from(used.stream().map(WorkerNode.Listing::id).toList()));
    }

    private static WorkflowTransition send(
            WorkflowState state,
            List<Entry> entries,
            PVector<String> taken,
            PSet<Long> buckets,
            Optional<PSet<String>> fleet) {
        CommitQueue commits = state.commits();
        PVector<String> left = commits.dirty().minusAll(taken);
        PSet<String> takenSet = HashTreePSet.from(taken);
        PVector<CommitQueue.PendingAnswer> answered =
                TreePVector.from(
                        commits.answers().stream()
                                .filter(a -> takenSet.contains(a.job()))
                                .toList());
        PMap<String, CommitQueue.CompletionWatermark> ends =
                left.isEmpty() ? marks(state) : HashTreePMap.empty();
        WorkflowEffect.Commit effect =
                new WorkflowEffect.Commit(
                        commits.nextBatch(), state.fence(), commits.previousRevision(), entries);
        CommitQueue.InFlight write = new CommitQueue.InFlight(effect, taken, answered, ends, fleet);
        CommitQueue sent =
                commits.sent(
                        write,
                        left,
                        commits.answers().minusAll(answered),
                        commits.buckets().plusAll(buckets),
                        state.now());
        return WorkflowTransition.of(state.with(sent)).with(effect);
    }

    private static PMap<String, CommitQueue.CompletionWatermark> marks(WorkflowState state) {
        PMap<String, CommitQueue.CompletionWatermark> marks = HashTreePMap.empty();
        for (WorkerNode node : state.workers().values()) {
            WorkerNode.Contact contact = node.contact();
            if (contact.seen() > contact.noted()) {
                marks =
                        marks.plus(
                                node.id(),
                                new CommitQueue.CompletionWatermark(
                                        contact.born(), contact.seen()));
            }
        }
        return marks;
    }

    /** Ends that changed no job need no write. */
    private static WorkflowState noteAll(WorkflowState state) {
        return note(state, marks(state));
    }

    private static WorkflowState note(
            WorkflowState state, PMap<String, CommitQueue.CompletionWatermark> marks) {
        WorkflowState next = state;
        for (String worker : marks.keySet()) {
            WorkerNode node = next.workers().get(worker);
            CommitQueue.CompletionWatermark mark = marks.get(worker);
            if (node != null && node.contact().born() == mark.born()) {
                next = next.with(node.with(node.contact().noted(mark.number())));
            }
        }
        return next;
    }

    static WorkflowTransition ended(WorkflowState state, WorkflowEvent.CommitCompleted event) {
        Optional<CommitQueue.InFlight> write = state.commits().inFlight();
        if (write.isEmpty() || write.get().effect().batch() != event.batch()) {
            return WorkflowTransition.of(state);
        }
        return switch (event.result()) {
            case CommitResult.Stored stored -> stored(state, write.get(), stored.revision());
            case CommitResult.LostLeadership deposed -> Election.depose(state, "write-refused");
            case CommitResult.Retry retry ->
                    WorkflowTransition.of(state).with(write.get().effect());
        };
    }

    private static WorkflowTransition stored(
            WorkflowState state, CommitQueue.InFlight write, long revision) {
        WorkflowState next = note(state.with(state.commits().stored(revision)), write.ends());
        // The write proved that this entry led when it was sent.
        next =
                next.with(
                        next.leadership()
                                .confirmed(next.leadership().known(), next.commits().sentAt()));
        for (Entry entry : write.effect().entries()) {
            if (entry instanceof Entry.PutJob put) {
                Job job = next.jobs().get(put.job().id());
                next = job == null ? next : next.with(job.asStored());
            } else if (entry instanceof Entry.RemoveJob removed) {
                next = next.with(next.commits().removed(removed.job()));
            }
        }
        for (String id : write.jobs()) {
            if (next.finished().containsKey(id) && next.jobs().containsKey(id)) {
                next = next.withJobs(next.jobs().minus(id)).with(next.commits().removing(id));
            }
        }
        WorkflowTransition result = WorkflowTransition.of(next.withPlacementDue(true));
        for (CommitQueue.PendingAnswer answer : write.answers()) {
            result =
                    result.with(
                            new WorkflowEffect.Answer(
                                    answer.request(), new WorkflowEffect.Reply.Done()));
        }
        for (Entry entry : write.effect().entries()) {
            if (entry instanceof Entry.PutJob put) {
                result = result.with(accepted(put.job(), state.now()));
            }
        }
        return result;
    }

    private static WorkflowEffect accepted(Job job, long now) {
        return WorkflowEffect.LogEvent.of(
                "job-accepted",
                job.id(),
                "queue",
                job.queue(),
                "team",
                job.team(),
                "steps",
                job.definition().steps().size(),
                "stored_ms",
                now - job.acceptedAt());
    }

    /** Forgets jobs that ended long ago. */
    static WorkflowTransition tick(WorkflowState state) {
        CommitQueue commits = state.commits();
        // The record of a job must not outlive that of its end.
        if (commits.inFlight().isPresent()
                || commits.buckets().isEmpty()
                || !commits.removals().isEmpty()) {
            return WorkflowTransition.of(state);
        }
        long oldest = state.wallMillis() - WorkflowLimits.FINISHED_MILLIS;
        long firstBucket = Collections.min(commits.buckets());
        if (firstBucket >= FinishedJob.bucketOf(oldest)) {
            return WorkflowTransition.of(state);
        }
        List<FinishedJob> old =
                state.finished().values().stream().filter(f -> f.atWallMillis() < oldest).toList();
        if (old.isEmpty() || !state.mayOrder()) {
            return WorkflowTransition.of(state);
        }
        PSet<Long> buckets = HashTreePSet.from(old.stream().map(FinishedJob::bucket).toList());
        PSet<Long> whole =
                HashTreePSet.from(
                        buckets.stream()
                                .filter(
                                        b ->
                                                state.finished().values().stream()
                                                        .filter(f -> f.bucket() == b)
                                                        .allMatch(f -> f.atWallMillis() < oldest))
                                .limit(WorkflowLimits.COMMIT_RECORDS)
                                .toList());
        if (whole.isEmpty()) {
            return WorkflowTransition.of(state);
        }
        PMap<String, FinishedJob> kept =
                state.finished()
                        .minusAll(
                                old.stream()
                                        .filter(f -> whole.contains(f.bucket()))
                                        .map(FinishedJob::id)
                                        .toList());
        List<Entry> entries = new ArrayList<>();
        whole.forEach(b -> entries.add(new Entry.RemoveFinished(b)));
        WorkflowState next = state.withFinished(kept);
        return send(
                next.with(commits.withBuckets(commits.buckets().minusAll(whole))),
                entries,
                TreePVector.empty(),
                HashTreePSet.empty(),
                Optional.empty());
    }
}
