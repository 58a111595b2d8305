package org.jujubefork.core.placement;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The tasks placed in a shard, indexed for scheduling decisions.
 *
 * @param tasks tasks by id
 * @param usage the sum of declared sizes by team
 * @param batchTasksByTeam batch tasks by team, ordered from the oldest to the newest
 * @param replicasByJob replica counts of services by job
 */
public record TaskIndex(
        PSortedMap<TaskId, RunningTask> tasks,
        PSortedMap<TeamId, Resources> usage,
        PSortedMap<TeamId, PSortedSet<BatchTaskKey>> batchTasksByTeam,
        PSortedMap<JobId, ReplicaCounts> replicasByJob) {
    /** An index without tasks. */
    static final TaskIndex EMPTY =
            new TaskIndex(TreePMap.empty(), TreePMap.empty(), TreePMap.empty(), TreePMap.empty());

    /** Returns the sum of the declared sizes of the tasks of {@code team}. */
    Resources usageOf(TeamId team) {
        return usage.getOrDefault(team, Resources.ZERO);
    }

    /** Returns this index with {@code task} added; the worker of the task is in {@code rack}. */
    TaskIndex plus(RunningTask task, String rack) {
        TaskSpec spec = task.spec();
        TeamId team = spec.team();
        return new TaskIndex(
                tasks.plus(spec.id(), task),
                usage.plus(team, usageOf(team).plus(spec.size())),
                spec.kind() == WorkKind.BATCH
                        ? batchTasksByTeam.plus(
                                team, batchTasksOf(team).plus(BatchTaskKey.of(task)))
                        : batchTasksByTeam,
                replicasAfter(task, rack, 1));
    }

    /** Returns this index without {@code task}; the worker of the task is in {@code rack}. */
    TaskIndex minus(RunningTask task, String rack) {
        TaskSpec spec = task.spec();
        TeamId team = spec.team();
        Resources remainingUsage = usageOf(team).minus(spec.size());
        return new TaskIndex(
                tasks.minus(spec.id()),
                remainingUsage.isZero() ? usage.minus(team) : usage.plus(team, remainingUsage),
                spec.kind() == WorkKind.BATCH ? withoutBatchTask(task) : batchTasksByTeam,
                replicasAfter(task, rack, -1));
    }

    /** Returns this index with {@code task} in place of the task with the same id. */
    TaskIndex withUpdated(RunningTask task) {
        return new TaskIndex(
                tasks.plus(task.spec().id(), task), usage, batchTasksByTeam, replicasByJob);
    }

    /** Returns the batch tasks of {@code team}, from the oldest to the newest. */
    PSortedSet<BatchTaskKey> batchTasksOf(TeamId team) {
        PSortedSet<BatchTaskKey> existing = batchTasksByTeam.get(team);
        return existing == null ? TreePSet.empty() : existing;
    }

    private PSortedMap<TeamId, PSortedSet<BatchTaskKey>> withoutBatchTask(RunningTask task) {
        TeamId team = task.spec().team();
        PSortedSet<BatchTaskKey> remaining = batchTasksOf(team).minus(BatchTaskKey.of(task));
        return remaining.isEmpty()
                ? batchTasksByTeam.minus(team)
                : batchTasksByTeam.plus(team, remaining);
    }

    private PSortedMap<JobId, ReplicaCounts> replicasAfter(
            RunningTask task, String rack, int change) {
        if (task.spec().kind() != WorkKind.SERVICE || task.spec().jobTask().isEmpty()) {
            return replicasByJob;
        }
        JobId job = task.spec().jobTask().get().job();
        ReplicaCounts before = replicasByJob.getOrDefault(job, ReplicaCounts.NONE);
        ReplicaCounts after = before.plus(rack, task.worker(), change);
        return after.isEmpty() ? replicasByJob.minus(job) : replicasByJob.plus(job, after);
    }
}
