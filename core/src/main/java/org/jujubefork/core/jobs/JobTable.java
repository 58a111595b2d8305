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
 * The jobs of the cell, as read from the store, and what this entry has to do about them.
 *
 * @param stored the jobs of the cell
 * @param shards the jobs of owned shards
 * @param writes what is to be added to records
 * @param submissions jobs of which the first record is being written
 * @param waiting callers that wait for a write
 */
public record JobTable(
        StoredJobs stored,
        PSortedMap<ShardId, ShardJobs> shards,
        DueWrites writes,
        PSortedMap<JobId, Submission> submissions,
        WaitingCallers waiting) {
    /** No jobs. */
    public static final JobTable EMPTY =
            new JobTable(
                    StoredJobs.EMPTY,
                    TreePMap.empty(),
                    DueWrites.NONE,
                    TreePMap.empty(),
                    WaitingCallers.NONE);

    /** Returns the records by job. */
    public PSortedMap<JobId, StoredJob> records() {
        return stored.records();
    }

    /** Returns ended jobs by the time at which this entry learned of the end. */
    public PSortedSet<DueJob> ended() {
        return stored.ended();
    }

    /** Returns what is to be added to records, by job. */
    public PSortedMap<JobId, JobWork> work() {
        return writes.work();
    }

    /** Returns the newest record of {@code job} that is known to be in the store. */
    public Optional<JobRecord> record(JobId job) {
        return Optional.ofNullable(records().get(job)).map(StoredJob::record);
    }

    /** Returns the record of {@code job} with what this entry has to add to it. */
    public Optional<JobRecord> view(JobId job) {
        JobWork added = work().get(job);
        return added != null && added.view().isPresent() ? added.view() : record(job);
    }

    /** Returns the active jobs of {@code shard}. */
    public PSortedSet<JobId> activeIn(ShardId shard) {
        return stored.activeIn(shard);
    }

    /** Returns the jobs of an owned shard under {@code epoch}. */
    public ShardJobs shard(ShardId shard, Epoch epoch) {
        ShardJobs known = shards.get(shard);
        return known != null && known.epoch().equals(epoch)
                ? known
                : ShardJobs.of(epoch, bySubmission(activeIn(shard)));
    }

    private PSortedSet<DueJob> bySubmission(PSortedSet<JobId> jobs) {
        PSortedSet<DueJob> ordered = TreePSet.empty();
        for (JobId job : jobs) {
            ordered = ordered.plus(submitted(job));
        }
        return ordered;
    }

    /** Returns {@code job} with the time of its submission, so that older jobs are queued first. */
    DueJob submitted(JobId job) {
        return new DueJob(record(job).map(JobRecord::submittedAtEpochMillis).orElse(0L), job);
    }

    /** Returns this table with {@code record}, unless it knows a newer one. */
    JobTable withRecord(StoredJob record, long nowMillis) {
        return withStored(stored.plus(record, nowMillis));
    }

    /** Returns this table without the record of {@code job}. */
    JobTable withoutRecord(JobId job) {
        return withStored(stored.minus(job));
    }

    JobTable withEnded(PSortedSet<DueJob> value) {
        return withStored(stored.withEnded(value));
    }

    private JobTable withStored(StoredJobs value) {
        return new JobTable(value, shards, writes, submissions, waiting);
    }

    JobTable withShard(ShardId shard, ShardJobs value) {
        return withShards(shards.plus(shard, value));
    }

    JobTable withShards(PSortedMap<ShardId, ShardJobs> value) {
        return new JobTable(stored, value, writes, submissions, waiting);
    }

    /** Returns this table with other work for {@code job}. */
    JobTable withWork(JobId job, Optional<JobWork> value) {
        return withWrites(writes.with(job, value));
    }

    JobTable withWrites(DueWrites value) {
        return new JobTable(stored, shards, value, submissions, waiting);
    }

    JobTable withSubmissions(PSortedMap<JobId, Submission> value) {
        return new JobTable(stored, shards, writes, value, waiting);
    }

    JobTable withCaller(JobCaller caller) {
        return withWaiting(waiting.plus(caller));
    }

    JobTable withoutCaller(JobCaller caller) {
        return withWaiting(waiting.minus(caller));
    }

    private JobTable withWaiting(WaitingCallers value) {
        return new JobTable(stored, shards, writes, submissions, value);
    }

    /** Returns the callers that wait for {@code job}. */
    PSortedSet<JobCaller> callersOf(JobId job) {
        return waiting.of(job);
    }
}
