package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The job records of the cell as read from the store, with indexes.
 *
 * @param records the newest known record of each job
 * @param activeByShard jobs that have not ended, by shard to which tasks of the job are assigned
 * @param endedByTime ended jobs, ordered by the time at which this entry learned that they ended
 */
public record StoredJobs(
        PSortedMap<JobId, StoredJob> records,
        PSortedMap<ShardId, PSortedSet<JobId>> activeByShard,
        PSortedSet<TimedJob> endedByTime) {
    static final StoredJobs EMPTY =
            new StoredJobs(TreePMap.empty(), TreePMap.empty(), TreePSet.empty());

    /**
     * Returns the jobs that have not ended and have tasks in {@code shard}; empty if there are
     * none.
     */
    PSortedSet<JobId> activeIn(ShardId shard) {
        return activeByShard.getOrDefault(shard, TreePSet.empty());
    }

    /**
     * Returns these records with {@code stored} added or replaced; unchanged if the same or a newer
     * revision is known.
     */
    StoredJobs plus(StoredJob stored, long nowMillis) {
        JobRecord record = stored.record();
        StoredJob existing = records.get(record.id());
        if (existing != null && existing.revision() >= stored.revision()) {
            return this;
        }
        PSortedSet<TimedJob> updatedEnded = endedByTime;
        boolean wasFinal = existing != null && existing.record().state().isFinal();
        if (record.state().isFinal() && !wasFinal) {
            updatedEnded = updatedEnded.plus(new TimedJob(nowMillis, record.id()));
        }
        PSortedMap<ShardId, PSortedSet<JobId>> index =
                existing == null ? activeByShard : activeWithout(existing.record());
        if (!record.state().isFinal()) {
            for (JobPart part : record.parts()) {
                PSortedSet<JobId> others = index.getOrDefault(part.shard(), TreePSet.empty());
                index = index.plus(part.shard(), others.plus(record.id()));
            }
        }
        return new StoredJobs(records.plus(record.id(), stored), index, updatedEnded);
    }

    /**
     * Returns these records without the record of {@code job}. The job stays in the time index,
     * from which {@link JobRetention} removes it.
     */
    StoredJobs minus(JobId job) {
        StoredJob existing = records.get(job);
        return existing == null
                ? this
                : new StoredJobs(records.minus(job), activeWithout(existing.record()), endedByTime);
    }

    StoredJobs withEndedByTime(PSortedSet<TimedJob> value) {
        return new StoredJobs(records, activeByShard, value);
    }

    private PSortedMap<ShardId, PSortedSet<JobId>> activeWithout(JobRecord record) {
        PSortedMap<ShardId, PSortedSet<JobId>> index = activeByShard;
        for (JobPart part : record.parts()) {
            PSortedSet<JobId> jobs = index.get(part.shard());
            if (jobs != null) {
                PSortedSet<JobId> remaining = jobs.minus(record.id());
                index =
                        remaining.isEmpty()
                                ? index.minus(part.shard())
                                : index.plus(part.shard(), remaining);
            }
        }
        return index;
    }
}
