package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The state of the jobs in a shard that this entry owns.
 *
 * @param epoch the epoch under which this entry owns the shard
 * @param allTasksKnown whether this owner knows of every task that may still run in the shard
 * @param tasksByJob the tasks in this shard, by job
 * @param jobsToRefill jobs for which more tasks may have to be queued, ordered by submission time
 * @param delayedTasks failed tasks that wait for their retry delay
 * @param cleanups jobs with tasks to stop or dequeue, ordered by the time of the next cleanup
 * @param cleanupMillisByJob the time of the next cleanup, by job
 * @param migration the ongoing migration of tasks to another shard, if any
 * @param lastMigrationMillis when the last migration started or ended
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

    /** Returns the tasks of {@code job}; {@link ShardTasks#EMPTY} if nothing is known of them. */
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

    /**
     * Returns this state with a cleanup of {@code job} scheduled for {@code atMillis}; unchanged if
     * a cleanup is already scheduled for that time or an earlier one.
     */
    ShardJobs withCleanup(JobId job, long atMillis) {
        Long scheduledMillis = cleanupMillisByJob.get(job);
        if (scheduledMillis != null && scheduledMillis <= atMillis) {
            return this;
        }
        PSortedSet<TimedJob> others =
                scheduledMillis == null
                        ? cleanups
                        : cleanups.minus(new TimedJob(scheduledMillis, job));
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
