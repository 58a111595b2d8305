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
 * @param records records by job
 * @param active jobs that have not ended, by shard
 * @param ended ended jobs by the time at which this entry learned of the end
 * @param shards the jobs of owned shards
 * @param work what is to be added to records
 * @param due jobs by the time at which their next write is due
 * @param submissions jobs of which the first record is being written
 * @param callers callers that wait for a write, by deadline
 * @param callersOf the same by job
 * @param windowMillis start of the current second of writes
 * @param windowWrites writes in that second
 */
public record JobTable(
        PSortedMap<JobId, StoredJob> records,
        PSortedMap<ShardId, PSortedSet<JobId>> active,
        PSortedSet<DueJob> ended,
        PSortedMap<ShardId, ShardJobs> shards,
        PSortedMap<JobId, JobWork> work,
        PSortedSet<DueJob> due,
        PSortedMap<JobId, Submission> submissions,
        PSortedSet<JobCaller> callers,
        PSortedMap<JobId, PSortedSet<JobCaller>> callersOf,
        long windowMillis,
        int windowWrites) {
    /** No jobs. */
    public static final JobTable EMPTY =
            new JobTable(
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePSet.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePSet.empty(),
                    TreePMap.empty(),
                    TreePSet.empty(),
                    TreePMap.empty(),
                    0,
                    0);

    /** Returns the newest record of {@code job} that is known to be in the store. */
    public Optional<JobRecord> record(JobId job) {
        return Optional.ofNullable(records.get(job)).map(StoredJob::record);
    }

    /** Returns the record of {@code job} with what this entry has to add to it. */
    public Optional<JobRecord> view(JobId job) {
        JobWork added = work.get(job);
        return added != null && added.view().isPresent() ? added.view() : record(job);
    }

    /** Returns the active jobs of {@code shard}. */
    public PSortedSet<JobId> activeIn(ShardId shard) {
        PSortedSet<JobId> jobs = active.get(shard);
        return jobs == null ? TreePSet.empty() : jobs;
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

    /** Returns this table with {@code stored}, unless it knows a newer record. */
    JobTable withRecord(StoredJob stored, long nowMillis) {
        JobRecord record = stored.record();
        StoredJob known = records.get(record.id());
        if (known != null && known.revision() >= stored.revision()) {
            return this;
        }
        JobTable base = known == null ? this : unindexed(known.record());
        PSortedSet<DueJob> endings = base.ended;
        boolean wasFinal = known != null && known.record().state().isFinal();
        if (record.state().isFinal() && !wasFinal) {
            endings = endings.plus(new DueJob(nowMillis, record.id()));
        }
        PSortedMap<ShardId, PSortedSet<JobId>> index = base.active;
        if (!record.state().isFinal()) {
            for (JobPart part : record.parts()) {
                PSortedSet<JobId> jobs = index.get(part.shard());
                PSortedSet<JobId> others = jobs == null ? TreePSet.empty() : jobs;
                index = index.plus(part.shard(), others.plus(record.id()));
            }
        }
        return base.with(records.plus(record.id(), stored), index, endings);
    }

    /** Returns this table without the record of {@code job}. */
    JobTable withoutRecord(JobId job) {
        StoredJob known = records.get(job);
        if (known == null) {
            return this;
        }
        JobTable base = unindexed(known.record());
        return base.with(records.minus(job), base.active, base.ended);
    }

    private JobTable unindexed(JobRecord record) {
        PSortedMap<ShardId, PSortedSet<JobId>> index = active;
        for (JobPart part : record.parts()) {
            PSortedSet<JobId> jobs = index.get(part.shard());
            if (jobs != null) {
                PSortedSet<JobId> rest = jobs.minus(record.id());
                index = rest.isEmpty() ? index.minus(part.shard()) : index.plus(part.shard(), rest);
            }
        }
        return with(records, index, ended);
    }

    private JobTable with(
            PSortedMap<JobId, StoredJob> stored,
            PSortedMap<ShardId, PSortedSet<JobId>> index,
            PSortedSet<DueJob> endings) {
        return new JobTable(
                stored,
                index,
                endings,
                shards,
                work,
                due,
                submissions,
                callers,
                callersOf,
                windowMillis,
                windowWrites);
    }

    JobTable withEnded(PSortedSet<DueJob> value) {
        return with(records, active, value);
    }

    JobTable withShard(ShardId shard, ShardJobs value) {
        return withShards(shards.plus(shard, value));
    }

    JobTable withShards(PSortedMap<ShardId, ShardJobs> value) {
        return new JobTable(
                records,
                active,
                ended,
                value,
                work,
                due,
                submissions,
                callers,
                callersOf,
                windowMillis,
                windowWrites);
    }

    /** Returns this table with other work for {@code job}; the index by due time follows. */
    JobTable withWork(JobId job, Optional<JobWork> value) {
        JobWork before = work.get(job);
        PSortedSet<DueJob> times = due;
        if (before != null) {
            times = times.minus(new DueJob(before.dueMillis(), job));
        }
        if (value.isPresent()) {
            times = times.plus(new DueJob(value.get().dueMillis(), job));
        }
        PSortedMap<JobId, JobWork> works =
                value.map(w -> work.plus(job, w)).orElseGet(() -> work.minus(job));
        return new JobTable(
                records,
                active,
                ended,
                shards,
                works,
                times,
                submissions,
                callers,
                callersOf,
                windowMillis,
                windowWrites);
    }

    JobTable withSubmissions(PSortedMap<JobId, Submission> value) {
        return new JobTable(
                records,
                active,
                ended,
                shards,
                work,
                due,
                value,
                callers,
                callersOf,
                windowMillis,
                windowWrites);
    }

    JobTable withCaller(JobCaller caller) {
        PSortedSet<JobCaller> others = callersOf.get(caller.job());
        PSortedSet<JobCaller> all = others == null ? TreePSet.empty() : others;
        return withCallers(callers.plus(caller), callersOf.plus(caller.job(), all.plus(caller)));
    }

    JobTable withoutCaller(JobCaller caller) {
        PSortedSet<JobCaller> others = callersOf.get(caller.job());
        PSortedSet<JobCaller> rest = others == null ? TreePSet.empty() : others.minus(caller);
        return withCallers(
                callers.minus(caller),
                rest.isEmpty()
                        ? callersOf.minus(caller.job())
                        : callersOf.plus(caller.job(), rest));
    }

    /** Returns the callers that wait for {@code job}. */
    PSortedSet<JobCaller> callersOf(JobId job) {
        PSortedSet<JobCaller> waiting = callersOf.get(job);
        return waiting == null ? TreePSet.empty() : waiting;
    }

    private JobTable withCallers(
            PSortedSet<JobCaller> byDeadline, PSortedMap<JobId, PSortedSet<JobCaller>> byJob) {
        return new JobTable(
                records,
                active,
                ended,
                shards,
                work,
                due,
                submissions,
                byDeadline,
                byJob,
                windowMillis,
                windowWrites);
    }

    JobTable withWindow(long startMillis, int writes) {
        return new JobTable(
                records,
                active,
                ended,
                shards,
                work,
                due,
                submissions,
                callers,
                callersOf,
                startMillis,
                writes);
    }
}
