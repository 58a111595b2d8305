package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEffect.Entry;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;

/** The store of the simulation: the record of the leader and the records that leaders write. */
final class SimulatedStore {
    private final Map<String, Job> jobRecords = new HashMap<>();
    private final Map<String, Job> progressRecords = new HashMap<>();
    private final Map<String, FinishedJob> finishedRecords = new HashMap<>();
    private List<WorkerNode.Listing> fleetRecord = List.of();
    private SilentWorkers silentWorkersRecord = SilentWorkers.NONE;
    private Optional<LeaderRecord> leader = Optional.empty();
    private long revision = 1;
    private long lastWriteRevision;
    private long lastBatch;

    Optional<LeaderRecord> leader() {
        return leader;
    }

    /** Replaces the leader record if it still has the revision that {@code claim} expects. */
    ClaimResult claim(WorkflowEffect.Claim claim, String entry) {
        long current = leader.map(LeaderRecord::revision).orElse(0L);
        if (current != claim.expectedRevision()) {
            return new ClaimResult.NotWon();
        }
        revision++;
        lastWriteRevision = revision;
        lastBatch = 0;
        leader = Optional.of(new LeaderRecord(entry, entry, claim.term(), revision, true));
        return new ClaimResult.Won(leader.get(), snapshot());
    }

    /** Writes {@code commit} if its conditions hold. */
    CommitResult write(WorkflowEffect.Commit commit) {
        boolean leads = leader.map(LeaderRecord::revision).orElse(0L) == commit.leaderRevision();
        if (leads && commit.previousRevision() == lastWriteRevision) {
            revision++;
            lastWriteRevision = revision;
            lastBatch = commit.batch();
            commit.entries().forEach(this::store);
            return new CommitResult.Stored(revision);
        }
        return leads && lastBatch == commit.batch()
                ? new CommitResult.Stored(lastWriteRevision)
                : new CommitResult.LostLeadership();
    }

    /** Returns whether a record contains that {@code task} is done, or that its job is. */
    boolean isRecordedAsDone(TaskKey task) {
        FinishedJob finished = finishedRecords.get(task.job());
        if (finished != null) {
            return finished.status() == Job.Status.DONE;
        }
        Job progress = progressRecords.get(task.job());
        return progress != null
                && progress.hasTask(task)
                && progress.task(task).phase() == Task.Phase.DONE;
    }

    private WorkflowEvent.Snapshot snapshot() {
        List<Job> jobs = new ArrayList<>();
        for (Job job : jobRecords.values()) {
            Job progress = progressRecords.get(job.id());
            jobs.add(progress == null ? job : progress);
        }
        return new WorkflowEvent.Snapshot(
                jobs, List.copyOf(finishedRecords.values()), fleetRecord, silentWorkersRecord);
    }

    private void store(Entry entry) {
        switch (entry) {
            case Entry.PutJob e -> jobRecords.put(e.job().id(), storedDefinition(e.job()));
            case Entry.PutProgress e -> progressRecords.put(e.job().id(), storedProgress(e.job()));
            case Entry.RemoveJob e -> {
                jobRecords.remove(e.job());
                progressRecords.remove(e.job());
            }
            case Entry.PutFinished e -> e.jobs().forEach(f -> finishedRecords.put(f.id(), f));
            case Entry.RemoveFinished e ->
                    finishedRecords.values().removeIf(f -> f.bucket() == e.bucket());
            case Entry.PutFleet e -> fleetRecord = e.workers();
            case Entry.PutSilentWorkers e -> silentWorkersRecord = e.silentWorkers();
        }
    }

    /**
     * Returns the part of a job that its job record contains: everything except the progress of its
     * tasks.
     */
    private static Job storedDefinition(Job job) {
        return Job.submitted(job.id(), job.queue(), job.team(), job.definition(), job.acceptance())
                .asStored();
    }

    /**
     * Returns the part of a job that its progress record contains: completed tasks and failed runs.
     */
    private static Job storedProgress(Job job) {
        Job result = storedDefinition(job);
        for (int occurrence : job.occurrences().keySet()) {
            result = result.withOccurrence(occurrence);
            for (int step = 0; step < job.definition().steps().size(); step++) {
                StepKey key = new StepKey(job.id(), occurrence, step);
                for (int i = 0; i < job.step(key).taskCount(); i++) {
                    Task task = job.task(key.task(i));
                    Task stored =
                            task.failedRuns().isEmpty()
                                    ? Task.NEW
                                    : Task.NEW.asWaiting(task.failedRuns(), "");
                    boolean ended = task.phase() == Task.Phase.DONE;
                    result = result.with(key.task(i), ended ? stored.asDone() : stored);
                }
                FailedRuns gangFailures = job.progress(key).gangFailedRuns();
                result = result.with(key, result.progress(key).withGangFailedRuns(gangFailures));
            }
        }
        return result;
    }
}
