package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * A shard that this entry owns: its workers, what runs on them and what waits.
 *
 * @param id the shard
 * @param epoch the authority under which this entry owns it
 * @param claimedAtMillis when this entry claimed it
 * @param workers its workers
 * @param index the workers that take work, by what is free
 * @param tasks tasks placed on its workers
 * @param usage declared sizes of placed tasks by team
 * @param capacity what its workers hold in all
 * @param charged what the workers hold that are not acquired; an earlier owner may use it
 * @param queue what waits
 */
public record ShardState(
        ShardId id,
        Epoch epoch,
        long claimedAtMillis,
        PSortedMap<WorkerId, WorkerState> workers,
        WorkerIndex index,
        PSortedMap<TaskId, RunningTask> tasks,
        PSortedMap<TeamId, Resources> usage,
        Resources capacity,
        Resources charged,
        WorkQueue queue) {
    /** Returns a shard that has just been claimed, without workers. */
    public static ShardState claimed(ShardId id, Epoch epoch, long nowMillis) {
        return new ShardState(
                id,
                epoch,
                nowMillis,
                TreePMap.empty(),
                WorkerIndex.EMPTY,
                TreePMap.empty(),
                TreePMap.empty(),
                Resources.ZERO,
                Resources.ZERO,
                WorkQueue.EMPTY);
    }

    /** Returns the worker {@code worker}, if it belongs to the shard. */
    public Optional<WorkerState> worker(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /** Returns the task {@code task}, if it is placed in the shard. */
    public Optional<RunningTask> task(TaskId task) {
        return Optional.ofNullable(tasks.get(task));
    }

    /** Returns what {@code team} has placed in the shard. */
    public Resources usageOf(TeamId team) {
        Resources used = usage.get(team);
        return used == null ? Resources.ZERO : used;
    }

    /** Returns this shard with {@code worker} added or replaced. */
    public ShardState withWorker(WorkerState worker) {
        WorkerState before = workers.get(worker.id());
        WorkerIndex without = before == null ? index : index.minus(before);
        Resources base = before == null ? capacity : capacity.minus(before.capacity());
        Resources uncharged = before == null ? charged : charged.minus(chargeOf(before));
        return new ShardState(
                id,
                epoch,
                claimedAtMillis,
                workers.plus(worker.id(), worker),
                without.plus(worker),
                tasks,
                usage,
                base.plus(worker.capacity()),
                uncharged.plus(chargeOf(worker)),
                queue);
    }

    /** Returns this shard without {@code worker}, on which no task may be placed any more. */
    public ShardState withoutWorker(WorkerId worker) {
        WorkerState before = workers.get(worker);
        if (before == null) {
            return this;
        }
        if (!before.tasks().isEmpty()) {
            throw new IllegalArgumentException(
                    "worker " + worker + " still has tasks: " + before.tasks());
        }
        return new ShardState(
                id,
                epoch,
                claimedAtMillis,
                workers.minus(worker),
                index.minus(before),
                tasks,
                usage,
                capacity.minus(before.capacity()),
                charged.minus(chargeOf(before)),
                queue);
    }

    /** Returns this shard with {@code task} placed on its worker. */
    public ShardState place(RunningTask task) {
        WorkerState worker = workers.get(task.worker());
        TeamId team = task.spec().team();
        return withWorker(worker.plus(task))
                .withTasks(
                        tasks.plus(task.spec().id(), task),
                        usage.plus(team, usageOf(team).plus(task.spec().size())));
    }

    /** Returns this shard with the placed task of the same id replaced by {@code task}. */
    public ShardState update(RunningTask task) {
        return withTasks(tasks.plus(task.spec().id(), task), usage);
    }

    /** Returns this shard without the task {@code id}, whose resources are free again. */
    public ShardState release(TaskId id) {
        RunningTask task = tasks.get(id);
        if (task == null) {
            return this;
        }
        TeamId team = task.spec().team();
        Resources left = usageOf(team).minus(task.spec().size());
        PSortedMap<TeamId, Resources> remaining =
                left.isZero() ? usage.minus(team) : usage.plus(team, left);
        return withWorker(workers.get(task.worker()).minus(task))
                .withTasks(tasks.minus(id), remaining);
    }

    /** Returns this shard with another queue. */
    public ShardState withQueue(WorkQueue value) {
        return new ShardState(
                id, epoch, claimedAtMillis, workers, index, tasks, usage, capacity, charged, value);
    }

    /** Returns this shard under another epoch. */
    public ShardState withEpoch(Epoch value) {
        return new ShardState(
                id, value, claimedAtMillis, workers, index, tasks, usage, capacity, charged, queue);
    }

    private static Resources chargeOf(WorkerState worker) {
        return worker.phase() == WorkerPhase.ACQUIRING ? worker.capacity() : Resources.ZERO;
    }

    private ShardState withTasks(
            PSortedMap<TaskId, RunningTask> placed, PSortedMap<TeamId, Resources> used) {
        return new ShardState(
                id, epoch, claimedAtMillis, workers, index, placed, used, capacity, charged, queue);
    }
}
