package org.jujubefork.core.jobs;

import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.Lane;
import org.jujubefork.core.placement.LaneKey;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/** Puts tasks of jobs into the queues of owned shards, a bounded number per job at a time. */
final class TaskEnqueuer {
    /**
     * Maximum number of tasks of one job in the queue of a shard. This is enough for the starts
     * between two ticks; a higher value would only make the queue larger.
     */
    static final int MAX_QUEUED_PER_JOB = 128;

    private TaskEnqueuer() {}

    /** Returns what this entry knows of the jobs of {@code shard}, which it must own. */
    static ShardJobs shardJobs(State state, ShardId shard) {
        return state.jobs().shardJobs(shard, state.shards().get(shard).epoch());
    }

    static State withShardJobs(State state, ShardId shard, ShardJobs jobs) {
        return state.withJobs(state.jobs().withShard(shard, jobs));
    }

    static State withTasks(State state, ShardId shard, JobId job, ShardTasks tasks) {
        return withShardJobs(state, shard, shardJobs(state, shard).withTasks(job, tasks));
    }

    /**
     * Returns whether the task {@code index} may be started in {@code shard}, according to both the
     * stored record and the projected record.
     */
    private static boolean isStartable(State state, ShardId shard, JobId job, int index) {
        boolean isStartableByStored =
                state.jobs().record(job).map(r -> r.isStartableIn(shard, index)).orElse(false);
        return isStartableByStored
                && state.jobs()
                        .projectedRecord(job)
                        .map(r -> r.isStartableIn(shard, index))
                        .orElse(false);
    }

    /**
     * Recomputes from the projected record which tasks of {@code job} are still to be queued, and
     * dequeues those that may no longer be started here.
     */
    static State recomputeUnqueued(State state, ShardId shard, JobId job) {
        Optional<JobRecord> record = state.jobs().projectedRecord(job);
        if (record.isEmpty()) {
            return state;
        }
        State dequeued = state;
        for (int index : shardJobs(state, shard).tasksOf(job).queued().keySet()) {
            if (!isStartable(state, shard, job, index)) {
                dequeued = dequeue(dequeued, shard, job, index);
            }
        }
        ShardTasks tasks = shardJobs(dequeued, shard).tasksOf(job);
        PSortedSet<Integer> unqueued = TreePSet.empty();
        for (JobPart range : record.get().parts()) {
            if (!range.shard().equals(shard) || !isStartable(state, shard, job, range.from())) {
                continue;
            }
            for (int index = range.from(); index < range.to(); index++) {
                boolean isTracked =
                        tasks.placed().containsKey(index)
                                || tasks.queued().containsKey(index)
                                || tasks.delayed().contains(index)
                                || record.get().succeeded().contains(index);
                unqueued = isTracked ? unqueued : unqueued.plus(index);
            }
        }
        return withShardJobs(
                dequeued,
                shard,
                shardJobs(dequeued, shard)
                        .withTasks(job, tasks.withLoadedTasks(unqueued))
                        .markForRefill(state.jobs().bySubmissionTime(job)));
    }

    /** Removes the task {@code index} from the queue of {@code shard}, if it is queued. */
    static State dequeue(State state, ShardId shard, JobId job, int index) {
        ShardTasks tasks = shardJobs(state, shard).tasksOf(job);
        WorkQueue.Position position = tasks.queued().get(index);
        if (position == null) {
            return state;
        }
        ShardState owned = state.shards().get(shard);
        return withTasks(
                state.withShard(owned.withQueue(owned.queue().minus(position))),
                shard,
                job,
                tasks.withQueued(tasks.queued().minus(index)));
    }

    /**
     * Adds the task {@code index} to the unqueued tasks, and marks the job for refill. Does nothing
     * if the tasks of the job have not been loaded, because loading them will include the task.
     */
    static State requeue(State state, ShardId shard, JobId job, int index) {
        ShardJobs jobs = shardJobs(state, shard);
        ShardTasks tasks = jobs.tasksOf(job);
        if (!tasks.loaded()) {
            return state;
        }
        return withShardJobs(
                state,
                shard,
                jobs.withTasks(job, tasks.withUnqueued(tasks.unqueued().plus(index)))
                        .markForRefill(state.jobs().bySubmissionTime(job)));
    }

    /** Schedules the task {@code index} to be queued again after {@code delayMillis}. */
    static State requeueAfter(State state, ShardId shard, JobId job, int index, long delayMillis) {
        ShardJobs jobs = shardJobs(state, shard);
        ShardTasks tasks = jobs.tasksOf(job);
        DelayedTask task = new DelayedTask(state.nowMillis() + delayMillis, job, index);
        return withShardJobs(
                state,
                shard,
                jobs.withTasks(job, tasks.withDelayed(tasks.delayed().plus(index)))
                        .withDelayedTasks(jobs.delayedTasks().plus(task)));
    }

    /**
     * Queues unqueued tasks of {@code job}, until {@link #MAX_QUEUED_PER_JOB} are queued or the
     * queue is full.
     */
    static Transition refill(State state, ShardId shard, JobId job) {
        Optional<JobRecord> projected = state.jobs().projectedRecord(job);
        ShardJobs jobs = shardJobs(state, shard);
        TimedJob timedJob = state.jobs().bySubmissionTime(job);
        State unmarked =
                withShardJobs(
                        state, shard, jobs.withJobsToRefill(jobs.jobsToRefill().minus(timedJob)));
        if (projected.isEmpty() || projected.get().state().isFinal() || !jobs.allTasksKnown()) {
            return Transition.of(unmarked);
        }
        State loaded =
                jobs.tasksOf(job).loaded() ? unmarked : recomputeUnqueued(unmarked, shard, job);
        if (TaskMigrator.isAnnouncedByOther(loaded, shard, job)) {
            return Transition.of(
                            markForRefill(
                                    TaskMigrator.withdrawAnnouncement(loaded, shard, job),
                                    shard,
                                    job))
                    .then(s -> Transition.of(refillTasks(s, shard, projected.get())));
        }
        return projected.get().kind() == WorkKind.GANG
                ? refillGang(loaded, shard, projected.get())
                : Transition.of(refillTasks(loaded, shard, projected.get()));
    }

    private static State refillTasks(State state, ShardId shard, JobRecord record) {
        JobId job = record.id();
        State result = state;
        ShardTasks tasks = shardJobs(state, shard).tasksOf(job);
        while (!tasks.unqueued().isEmpty() && tasks.queued().size() < MAX_QUEUED_PER_JOB) {
            if (!hasQueueCapacity(result, shard, record)) {
                return markForRefill(result, shard, job);
            }
            int index = tasks.unqueued().first();
            result =
                    withTasks(
                            result, shard, job, tasks.withUnqueued(tasks.unqueued().minus(index)));
            boolean canBeQueued =
                    isStartable(result, shard, job, index)
                            && !record.succeeded().contains(index)
                            && !tasks.placed().containsKey(index)
                            && !tasks.queued().containsKey(index);
            if (canBeQueued) {
                result = enqueue(result, shard, index, queuedTask(result, record, index));
            }
            tasks = shardJobs(result, shard).tasksOf(job);
        }
        ShardJobs jobs = shardJobs(result, shard);
        TimedJob timedJob = state.jobs().bySubmissionTime(job);
        return withShardJobs(
                result, shard, jobs.withJobsToRefill(jobs.jobsToRefill().minus(timedJob)));
    }

    private static boolean hasQueueCapacity(State state, ShardId shard, JobRecord record) {
        WorkQueue queue = state.shards().get(shard).queue();
        Optional<Configuration> configuration = state.configuration();
        if (configuration.isEmpty()) {
            return false;
        }
        int maxQueued =
                configuration
                        .get()
                        .queue(record.queue())
                        .map(Queue::maxQueued)
                        .orElse(MAX_QUEUED_PER_JOB);
        LaneKey lane = new LaneKey(Lane.of(record.kind(), false), record.team());
        return queue.size() < configuration.get().tuning().maxQueuedTotal()
                && queue.lane(lane).size() < maxQueued;
    }

    private static QueuedWork.Task queuedTask(State state, JobRecord record, int index) {
        boolean countsAttempts = record.kind() == WorkKind.BATCH;
        return new QueuedWork.Task(
                record.id(),
                index,
                countsAttempts ? record.failedAttempts(index) + 1 : 1,
                record.team(),
                record.queue(),
                record.kind(),
                record.size(),
                record.payload(),
                state.nowMillis());
    }

    private static State enqueue(State state, ShardId shard, int index, QueuedWork work) {
        ShardState owned = state.shards().get(shard);
        WorkQueue.Position position =
                new WorkQueue.Position(
                        new LaneKey(work.lane(), work.team()), owned.queue().nextSequence());
        JobId job =
                work instanceof QueuedWork.Gang gang ? gang.job() : ((QueuedWork.Task) work).job();
        ShardTasks tasks = shardJobs(state, shard).tasksOf(job);
        return withTasks(
                state.withShard(owned.withQueue(owned.queue().plus(work))),
                shard,
                job,
                tasks.withQueued(tasks.queued().plus(index, position)));
    }

    /**
     * Queues a gang once none of its tasks is placed. If tasks of the run are missing, the tasks
     * that are still placed are stopped first.
     */
    private static Transition refillGang(State state, ShardId shard, JobRecord record) {
        JobId job = record.id();
        ShardTasks tasks = shardJobs(state, shard).tasksOf(job);
        if (!tasks.queued().isEmpty() || !isStartable(state, shard, job, 0)) {
            return Transition.of(state);
        }
        if (!isRunBroken(record, tasks)) {
            return Transition.of(state);
        }
        if (!tasks.placed().isEmpty()) {
            return JobCleanup.scheduleBrokenRun(state, shard, job);
        }
        if (!record.succeeded().isEmpty()) {
            PendingCompletion runFailure =
                    new PendingCompletion(
                            Optional.empty(),
                            TaskId.of("run-" + record.run()),
                            0,
                            record.run(),
                            EndReason.LEASE_EXPIRED,
                            "",
                            0);
            return JobRecordWriter.addCompletion(state, job, runFailure)
                    .then(s -> Transition.of(markForRefill(s, shard, job)));
        }
        if (!hasQueueCapacity(state, shard, record)) {
            return Transition.of(markForRefill(state, shard, job));
        }
        State started = withTasks(state, shard, job, tasks.withLastQueuedRun(record.run()));
        return Transition.of(enqueue(started, shard, 0, queuedGang(state, record)));
    }

    /**
     * Returns whether a gang has to be started again: a placed task belongs to an earlier run, or a
     * task of the current run is neither placed nor has succeeded.
     */
    static boolean isRunBroken(JobRecord record, ShardTasks tasks) {
        if (record.kind() != WorkKind.GANG) {
            return false;
        }
        boolean hasEarlierRun =
                tasks.placed().values().stream().anyMatch(t -> t.attempt() < record.run());
        return hasEarlierRun || tasks.placed().size() + record.succeeded().size() < record.tasks();
    }

    static State markForRefill(State state, ShardId shard, JobId job) {
        TimedJob timedJob = state.jobs().bySubmissionTime(job);
        return withShardJobs(state, shard, shardJobs(state, shard).markForRefill(timedJob));
    }

    private static QueuedWork.Gang queuedGang(State state, JobRecord record) {
        return new QueuedWork.Gang(
                record.id(),
                record.tasks(),
                record.run(),
                record.team(),
                record.queue(),
                record.size(),
                record.payload(),
                state.nowMillis());
    }

    /** Returns the placed task with index {@code index}, if its id is {@code id}. */
    static Optional<PlacedTask> findPlaced(
            State state, ShardId shard, JobId job, int index, TaskId id) {
        Map<Integer, PlacedTask> placed = shardJobs(state, shard).tasksOf(job).placed();
        return Optional.ofNullable(placed.get(index)).filter(t -> t.task().equals(id));
    }
}
