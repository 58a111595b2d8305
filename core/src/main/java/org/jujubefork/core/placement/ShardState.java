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
 * @param workerIndex the workers that take work, by what is free
 * @param taskIndex tasks placed on its workers
 * @param capacity what its workers hold in all
 * @param unacquiredCapacity what the workers hold that are not acquired; an earlier owner may use
 *     it
 * @param queue what waits
 * @param schedulerState what the scheduler remembers between events
 */
public record ShardState(
        ShardId id,
        Epoch epoch,
        long claimedAtMillis,
        PSortedMap<WorkerId, WorkerState> workers,
        WorkerIndex workerIndex,
        TaskIndex taskIndex,
        Resources capacity,
        Resources unacquiredCapacity,
        WorkQueue queue,
        SchedulerState schedulerState) {
    /** Returns a shard that has just been claimed, without workers. */
    public static ShardState claimed(ShardId id, Epoch epoch, long nowMillis) {
        return new ShardState(
                id,
                epoch,
                nowMillis,
                TreePMap.empty(),
                WorkerIndex.EMPTY,
                TaskIndex.EMPTY,
                Resources.ZERO,
                Resources.ZERO,
                WorkQueue.EMPTY,
                SchedulerState.INITIAL);
    }

    /** Returns the worker {@code worker}, if it belongs to the shard. */
    public Optional<WorkerState> worker(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /** Returns the tasks placed on its workers. */
    public PSortedMap<TaskId, RunningTask> tasks() {
        return taskIndex.tasks();
    }

    /** Returns declared sizes of placed tasks by team. */
    public PSortedMap<TeamId, Resources> usage() {
        return taskIndex.usage();
    }

    /** Returns the task {@code task}, if it is placed in the shard. */
    public Optional<RunningTask> task(TaskId task) {
        return Optional.ofNullable(taskIndex.tasks().get(task));
    }

    /** Returns what {@code team} has placed in the shard. */
    public Resources usageOf(TeamId team) {
        return taskIndex.usageOf(team);
    }

    /** Returns this shard with {@code worker} added or replaced. */
    public ShardState withWorker(WorkerState worker) {
        WorkerState before = workers.get(worker.id());
        WorkerIndex updatedIndex =
                before == null ? workerIndex.plus(worker) : workerIndex.replace(before, worker);
        Resources otherCapacity = before == null ? capacity : capacity.minus(before.capacity());
        Resources otherUnacquired =
                before == null
                        ? unacquiredCapacity
                        : unacquiredCapacity.minus(unacquiredCapacityOf(before));
        boolean hasMoreFreeCapacity =
                before == null ? worker.isEligible() : worker.hasMoreFreeCapacityThan(before);
        return new ShardState(
                id,
                epoch,
                claimedAtMillis,
                workers.plus(worker.id(), worker),
                updatedIndex,
                taskIndex,
                otherCapacity.plus(worker.capacity()),
                otherUnacquired.plus(unacquiredCapacityOf(worker)),
                queue,
                hasMoreFreeCapacity ? schedulerState.withRecheckAll(true) : schedulerState);
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
                workerIndex.minus(before),
                taskIndex,
                capacity.minus(before.capacity()),
                unacquiredCapacity.minus(unacquiredCapacityOf(before)),
                queue,
                schedulerState);
    }

    /** Returns this shard with {@code task} placed on its worker. */
    public ShardState place(RunningTask task) {
        WorkerState worker = workers.get(task.worker());
        return withWorker(worker.plus(task)).withTaskIndex(taskIndex.plus(task, rackOf(worker)));
    }

    /** Returns this shard with the placed task of the same id replaced by {@code task}. */
    public ShardState update(RunningTask task) {
        RunningTask before = taskIndex.tasks().get(task.spec().id());
        ShardState recharged =
                before.charge().equals(task.charge())
                        ? this
                        : withWorker(
                                workers.get(task.worker())
                                        .withChangedCharge(before.charge(), task.charge()));
        return recharged.withTaskIndex(taskIndex.withUpdated(task));
    }

    /** Returns this shard without the task {@code id}, whose resources are free again. */
    public ShardState release(TaskId id) {
        RunningTask task = taskIndex.tasks().get(id);
        if (task == null) {
            return this;
        }
        WorkerState worker = workers.get(task.worker());
        return withWorker(worker.minus(task)).withTaskIndex(taskIndex.minus(task, rackOf(worker)));
    }

    /** Returns this shard with another queue. */
    public ShardState withQueue(WorkQueue value) {
        return new ShardState(
                id,
                epoch,
                claimedAtMillis,
                workers,
                workerIndex,
                taskIndex,
                capacity,
                unacquiredCapacity,
                value,
                schedulerState);
    }

    /** Returns this shard under another epoch. */
    public ShardState withEpoch(Epoch value) {
        return new ShardState(
                id,
                value,
                claimedAtMillis,
                workers,
                workerIndex,
                taskIndex,
                capacity,
                unacquiredCapacity,
                queue,
                schedulerState);
    }

    /** Returns this shard with other notes of the scheduler. */
    ShardState withSchedulerState(SchedulerState value) {
        return new ShardState(
                id,
                epoch,
                claimedAtMillis,
                workers,
                workerIndex,
                taskIndex,
                capacity,
                unacquiredCapacity,
                queue,
                value);
    }

    private ShardState withTaskIndex(TaskIndex value) {
        return new ShardState(
                id,
                epoch,
                claimedAtMillis,
                workers,
                workerIndex,
                value,
                capacity,
                unacquiredCapacity,
                queue,
                schedulerState);
    }

    private static Resources unacquiredCapacityOf(WorkerState worker) {
        return worker.phase() == WorkerPhase.ACQUIRING ? worker.capacity() : Resources.ZERO;
    }

    /** Returns the rack of {@code worker}; it does not change while tasks are placed there. */
    private static String rackOf(WorkerState worker) {
        return worker.listing().location().rack();
    }
}
