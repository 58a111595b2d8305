package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The jobs of the cell as read from the store, and the state of this entry's work on these jobs.
 *
 * @param stored the records of all jobs of the cell
 * @param shards the state of the jobs in each owned shard
 * @param writeQueue updates of job records that have yet to be written
 * @param submissions new jobs whose first record is being written
 * @param waitingCallers callers that wait for a write to the store
 */
public record JobTable(
        StoredJobs stored,
        PSortedMap<ShardId, ShardJobs> shards,
        JobWriteQueue writeQueue,
        PSortedMap<JobId, Submission> submissions,
        WaitingCallers waitingCallers) {
    /** The table before any job is known. */
    public static final JobTable EMPTY =
            new JobTable(
                    StoredJobs.EMPTY,
                    TreePMap.empty(),
                    JobWriteQueue.EMPTY,
                    TreePMap.empty(),
                    WaitingCallers.NONE);

    /** Returns the newest known record of each job, with its revision. */
    public PSortedMap<JobId, StoredJob> records() {
        return stored.records();
    }

    /** Returns the ended jobs, ordered by the time at which this entry learned that they ended. */
    public PSortedSet<TimedJob> endedByTime() {
        return stored.endedByTime();
    }

    /** Returns the updates that have yet to be written, by job. */
    public PSortedMap<JobId, PendingJobUpdate> pendingUpdates() {
        return writeQueue.updates();
    }

    /**
     * Returns the newest record of {@code job} that is known to be stored; empty if none is known.
     */
    public Optional<JobRecord> record(JobId job) {
        return Optional.ofNullable(records().get(job)).map(StoredJob::record);
    }

    /**
     * Returns the record of {@code job} with the pending update of this entry applied; empty if no
     * record is known.
     */
    public Optional<JobRecord> projectedRecord(JobId job) {
        PendingJobUpdate update = pendingUpdates().get(job);
        return update != null && update.projected().isPresent() ? update.projected() : record(job);
    }

    /**
     * Returns the jobs that have not ended and have tasks in {@code shard}; empty if there are
     * none.
     */
    public PSortedSet<JobId> activeIn(ShardId shard) {
        return stored.activeIn(shard);
    }

    /**
     * Returns the state of the jobs in an owned shard. If there is no state for {@code epoch},
     * returns a new state in which all active jobs are marked for refill.
     */
    public ShardJobs shardJobs(ShardId shard, Epoch epoch) {
        ShardJobs existing = shards.get(shard);
        return existing != null && existing.epoch().equals(epoch)
                ? existing
                : ShardJobs.of(epoch, orderedBySubmission(activeIn(shard)));
    }

    private PSortedSet<TimedJob> orderedBySubmission(PSortedSet<JobId> jobs) {
        PSortedSet<TimedJob> ordered = TreePSet.empty();
        for (JobId job : jobs) {
            ordered = ordered.plus(bySubmissionTime(job));
        }
        return ordered;
    }

    /**
     * Returns {@code job} with its submission time, so that tasks of older jobs are queued first;
     * the time is 0 if no record is known.
     */
    TimedJob bySubmissionTime(JobId job) {
        return new TimedJob(record(job).map(JobRecord::submittedAtEpochMillis).orElse(0L), job);
    }

    /**
     * Returns this table with {@code record}, or this table unchanged if it already has the same or
     * a newer revision.
     */
    JobTable withRecord(StoredJob record, long nowMillis) {
        return withStored(stored.plus(record, nowMillis));
    }

    /** Returns this table without the record of {@code job}. */
    JobTable withoutRecord(JobId job) {
        return withStored(stored.minus(job));
    }

    JobTable withEndedByTime(PSortedSet<TimedJob> value) {
        return withStored(stored.withEndedByTime(value));
    }

    private JobTable withStored(StoredJobs value) {
        return new JobTable(value, shards, writeQueue, submissions, waitingCallers);
    }

    JobTable withShard(ShardId shard, ShardJobs value) {
        return withShards(shards.plus(shard, value));
    }

    JobTable withShards(PSortedMap<ShardId, ShardJobs> value) {
        return new JobTable(stored, value, writeQueue, submissions, waitingCallers);
    }

    /** Returns this table with {@code value} as the pending update of {@code job}. */
    JobTable withPendingUpdate(JobId job, Optional<PendingJobUpdate> value) {
        return withWriteQueue(writeQueue.withUpdate(job, value));
    }

    JobTable withWriteQueue(JobWriteQueue value) {
        return new JobTable(stored, shards, value, submissions, waitingCallers);
    }

    JobTable withSubmissions(PSortedMap<JobId, Submission> value) {
        return new JobTable(stored, shards, writeQueue, value, waitingCallers);
    }

    JobTable withCaller(WaitingCaller caller) {
        return withWaitingCallers(waitingCallers.plus(caller));
    }

    JobTable withoutCaller(WaitingCaller caller) {
        return withWaitingCallers(waitingCallers.minus(caller));
    }

    private JobTable withWaitingCallers(WaitingCallers value) {
        return new JobTable(stored, shards, writeQueue, submissions, value);
    }

    /** Returns the callers that wait for {@code job}. */
    PSortedSet<WaitingCaller> callersOf(JobId job) {
        return waitingCallers.of(job);
    }
}
