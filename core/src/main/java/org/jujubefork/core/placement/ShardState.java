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
 * A shard that this entry owns: its workers, their tasks and its queue.
 *
 * @param id the shard
 * @param epoch the epoch under which this entry owns it
 * @param claimedAtMillis when this entry claimed it
 * @param workers its workers
 * @param workerIndex the workers that accept work, ordered by free capacity
 * @param taskIndex the tasks placed on its workers
 * @param capacity the total capacity of its workers
 * @param unacquiredCapacity the capacity of workers whose leases are not acquired; work of an
 *     earlier owner may still use this capacity, so it is charged against limits
 * @param queue the queued work
 * @param schedulerState the state that the scheduler keeps between events
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

    /** Returns the worker {@code worker}; empty if it does not belong to the shard. */
    public Optional<WorkerState> worker(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /** Returns the tasks placed on its workers. */
    public PSortedMap<TaskId, RunningTask> tasks() {
        return taskIndex.tasks();
    }

    /** Returns the declared sizes of placed tasks, summed by team. */
    public PSortedMap<TeamId, Resources> usage() {
        return taskIndex.usage();
    }

    /** Returns the task {@code task}; empty if it is not placed in the shard. */
    public Optional<RunningTask> task(TaskId task) {
        return Optional.ofNullable(taskIndex.tasks().get(task));
    }

    /** Returns the declared sizes of the tasks of {@code team} that are placed in the shard. */
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

    /**
     * Returns this shard without {@code worker}.
     *
     * @throws IllegalArgumentException if tasks are placed on the worker
     */
    public ShardState withoutWorker(WorkerId worker) {
        WorkerState before = workers.get(worker);
        if (before == null) {
            return this;
        }
        if (!before.tasks().isEmpty()) {
            throw new IllegalArgumentException(
                    "cannot remove worker " + worker + " with placed tasks: " + before.tasks());
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

    /** Returns this shard with {@code task} in place of the placed task with the same id. */
    public ShardState update(RunningTask task) {
        RunningTask before = taskIndex.tasks().get(task.spec().id());
        ShardState withCharge =
                before.charge().equals(task.charge())
                        ? this
                        : withWorker(
                                workers.get(task.worker())
                                        .withCharge(before.charge(), task.charge()));
        return withCharge.withTaskIndex(taskIndex.withUpdated(task));
    }

    /** Returns this shard without the task {@code id}, whose capacity is freed. */
    public ShardState release(TaskId id) {
        RunningTask task = taskIndex.tasks().get(id);
        if (task == null) {
            return this;
        }
        WorkerState worker = workers.get(task.worker());
        return withWorker(worker.minus(task)).withTaskIndex(taskIndex.minus(task, rackOf(worker)));
    }

    /** Returns this shard with {@code value} as its queue. */
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

    /** Returns this shard with {@code value} as the epoch of its ownership. */
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

    /** Returns this shard with {@code value} as its scheduler state. */
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

    /** Returns the rack of {@code worker}, which does not change while tasks are placed there. */
    private static String rackOf(WorkerState worker) {
        return worker.listing().location().rack();
    }
}
