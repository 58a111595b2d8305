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
 * The tasks placed in a shard, with the sums and orders that decisions need.
 *
 * @param tasks tasks by id
 * @param usage declared sizes by team
 * @param batch batch tasks by team, the newest last
 * @param services replicas by job
 */
public record TaskBook(
        PSortedMap<TaskId, RunningTask> tasks,
        PSortedMap<TeamId, Resources> usage,
        PSortedMap<TeamId, PSortedSet<BatchKey>> batch,
        PSortedMap<JobId, Siblings> services) {
    /** No tasks. */
    static final TaskBook EMPTY =
            new TaskBook(TreePMap.empty(), TreePMap.empty(), TreePMap.empty(), TreePMap.empty());

    /** Returns what {@code team} has placed. */
    Resources usageOf(TeamId team) {
        return usage.getOrDefault(team, Resources.ZERO);
    }

    /** Returns this with {@code task}, which stands in {@code rack}. */
    TaskBook plus(RunningTask task, String rack) {
        TaskSpec spec = task.spec();
        TeamId team = spec.team();
        return new TaskBook(
                tasks.plus(spec.id(), task),
                usage.plus(team, usageOf(team).plus(spec.size())),
                spec.kind() == WorkKind.BATCH
                        ? batch.plus(team, batchOf(team).plus(BatchKey.of(task)))
                        : batch,
                replicas(task, rack, 1));
    }

    /** Returns this without {@code task}, which stood in {@code rack}. */
    TaskBook minus(RunningTask task, String rack) {
        TaskSpec spec = task.spec();
        TeamId team = spec.team();
        Resources left = usageOf(team).minus(spec.size());
        return new TaskBook(
                tasks.minus(spec.id()),
                left.isZero() ? usage.minus(team) : usage.plus(team, left),
                spec.kind() == WorkKind.BATCH ? withoutBatch(task) : batch,
                replicas(task, rack, -1));
    }

    /** Returns this with {@code task} in place of the one with the same id. */
    TaskBook updated(RunningTask task) {
        return new TaskBook(tasks.plus(task.spec().id(), task), usage, batch, services);
    }

    /** Returns the batch tasks of {@code team}, the newest last. */
    PSortedSet<BatchKey> batchOf(TeamId team) {
        PSortedSet<BatchKey> known = batch.get(team);
        return known == null ? TreePSet.empty() : known;
    }

    private PSortedMap<TeamId, PSortedSet<BatchKey>> withoutBatch(RunningTask task) {
        TeamId team = task.spec().team();
        PSortedSet<BatchKey> rest = batchOf(team).minus(BatchKey.of(task));
        return rest.isEmpty() ? batch.minus(team) : batch.plus(team, rest);
    }

    private PSortedMap<JobId, Siblings> replicas(RunningTask task, String rack, int change) {
        if (task.spec().kind() != WorkKind.SERVICE || task.spec().job().isEmpty()) {
            return services;
        }
        JobId job = task.spec().job().get().job();
        Siblings known = services.getOrDefault(job, Siblings.NONE);
        Siblings changed = known.plus(rack, task.worker(), change);
        return changed.isEmpty() ? services.minus(job) : services.plus(job, changed);
    }
}
