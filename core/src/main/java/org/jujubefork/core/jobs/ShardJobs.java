package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The jobs of a shard that this entry owns.
 *
 * @param epoch the authority under which this is known
 * @param allTasksKnown whether no task can run in the shard that this owner does not know of
 * @param tasksByJob what is known by job
 * @param jobsToRefill jobs for which more tasks may have to be queued, by the time of their
 *     submission
 * @param delayedTasks failed tasks that wait before they are queued again
 * @param cleanups ended jobs of which tasks may still be queued or running
 * @param cleanupMillisByJob the same by job
 * @param migration the move of unstarted tasks that is under way
 * @param lastMigrationMillis when the newest move began
 */
public record ShardJobs(
        Epoch epoch,
        boolean allTasksKnown,
        PSortedMap<JobId, ShardTasks> tasksByJob,
        PSortedSet<TimedJob> jobsToRefill,
        PSortedSet<DelayedTask> delayedTasks,
        PSortedSet<TimedJob> cleanups,
        PSortedMap<JobId, Long> cleanupMillisByJob,
        Optional<TaskMigration> migration,
        long lastMigrationMillis) {
    static ShardJobs of(Epoch epoch, PSortedSet<TimedJob> jobs) {
        return new ShardJobs(
                epoch,
                false,
                TreePMap.empty(),
                jobs,
                TreePSet.empty(),
                TreePSet.empty(),
                TreePMap.empty(),
                Optional.empty(),
                Long.MIN_VALUE / 2);
    }

    /** Returns what is known of {@code job} in the shard. */
    public ShardTasks tasksOf(JobId job) {
        ShardTasks tasks = tasksByJob.get(job);
        return tasks == null ? ShardTasks.EMPTY : tasks;
    }

    ShardJobs withTasks(JobId job, ShardTasks tasks) {
        return withTasksByJob(tasksByJob.plus(job, tasks));
    }

    ShardJobs withoutTasks(JobId job) {
        return withTasksByJob(tasksByJob.minus(job));
    }

    private ShardJobs withTasksByJob(PSortedMap<JobId, ShardTasks> value) {
        return new ShardJobs(
                epoch,
                allTasksKnown,
                value,
                jobsToRefill,
                delayedTasks,
                cleanups,
                cleanupMillisByJob,
                migration,
                lastMigrationMillis);
    }

    ShardJobs withAllTasksKnown() {
        return new ShardJobs(
                epoch,
                true,
                tasksByJob,
                jobsToRefill,
                delayedTasks,
                cleanups,
                cleanupMillisByJob,
                migration,
                lastMigrationMillis);
    }

    ShardJobs withJobsToRefill(PSortedSet<TimedJob> value) {
        return new ShardJobs(
                epoch,
                allTasksKnown,
                tasksByJob,
                value,
                delayedTasks,
                cleanups,
                cleanupMillisByJob,
                migration,
                lastMigrationMillis);
    }

    ShardJobs markForRefill(TimedJob job) {
        return withJobsToRefill(jobsToRefill.plus(job));
    }

    ShardJobs withDelayedTasks(PSortedSet<DelayedTask> value) {
        return new ShardJobs(
                epoch,
                allTasksKnown,
                tasksByJob,
                jobsToRefill,
                value,
                cleanups,
                cleanupMillisByJob,
                migration,
                lastMigrationMillis);
    }

    /** Returns these jobs with {@code job} closed at the earlier of both times. */
    ShardJobs withCleanup(JobId job, long atMillis) {
        Long known = cleanupMillisByJob.get(job);
        if (known != null && known <= atMillis) {
            return this;
        }
        PSortedSet<TimedJob> others =
                known == null ? cleanups : cleanups.minus(new TimedJob(known, job));
        return withCleanups(
                others.plus(new TimedJob(atMillis, job)), cleanupMillisByJob.plus(job, atMillis));
    }

    ShardJobs withoutCleanup(TimedJob due) {
        return withCleanups(cleanups.minus(due), cleanupMillisByJob.minus(due.job()));
    }

    private ShardJobs withCleanups(PSortedSet<TimedJob> value, PSortedMap<JobId, Long> byJob) {
        return new ShardJobs(
                epoch,
                allTasksKnown,
                tasksByJob,
                jobsToRefill,
                delayedTasks,
                value,
                byJob,
                migration,
                lastMigrationMillis);
    }

    ShardJobs withMigration(Optional<TaskMigration> value, long atMillis) {
        return new ShardJobs(
                epoch,
                allTasksKnown,
                tasksByJob,
                jobsToRefill,
                delayedTasks,
                cleanups,
                cleanupMillisByJob,
                value,
                atMillis);
    }
}
