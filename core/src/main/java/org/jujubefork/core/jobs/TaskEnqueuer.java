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

/** Queues the tasks of jobs in owned shards, a bounded number of each job at a time. */
final class TaskEnqueuer {
    /**
     * Tasks of one job that wait in the queue of a shard at most. It covers the starts between two
     * ticks; more would only make the queue larger.
     */
    static final int MAX_QUEUED_PER_JOB = 128;

    private TaskEnqueuer() {}

    /** Returns the jobs of an owned shard. */
    static ShardJobs shardJobs(State state, ShardId shard) {
        return state.jobs().shardJobs(shard, state.shards().get(shard).epoch());
    }

    static State withShardJobs(State state, ShardId shard, ShardJobs jobs) {
        return state.withJobs(state.jobs().withShard(shard, jobs));
    }

    static State withTasks(State state, ShardId shard, JobId job, ShardTasks tasks) {
        return withShardJobs(state, shard, shardJobs(state, shard).withTasks(job, tasks));
    }

    /** Returns whether the tasks of {@code index} may be started in {@code shard}. */
    private static boolean isStartable(State state, ShardId shard, JobId job, int index) {
        boolean stored =
                state.jobs().record(job).map(r -> r.isStartableIn(shard, index)).orElse(false);
        return stored
                && state.jobs()
                        .projectedRecord(job)
                        .map(r -> r.isStartableIn(shard, index))
                        .orElse(false);
    }

    /** Derives from the record which tasks of a job are still to be queued. */
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
                boolean tracked =
                        tasks.placed().containsKey(index)
                                || tasks.queued().containsKey(index)
                                || tasks.delayed().contains(index)
                                || record.get().succeeded().contains(index);
                unqueued = tracked ? unqueued : unqueued.plus(index);
            }
        }
        return withShardJobs(
                dequeued,
                shard,
                shardJobs(dequeued, shard)
                        .withTasks(job, tasks.withLoadedTasks(unqueued))
                        .markForRefill(state.jobs().bySubmissionTime(job)));
    }

    /** Removes the task {@code index} from the queue. */
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

    /** Has the task {@code index} queued again. */
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

    /** Has the task {@code index} queued again after {@code delayMillis}. */
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

    /** Queues tasks of {@code job} as far as its window and the queue have room. */
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
            boolean startable =
                    isStartable(result, shard, job, index)
                            && !record.succeeded().contains(index)
                            && !tasks.placed().containsKey(index)
                            && !tasks.queued().containsKey(index);
            if (startable) {
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
     * Queues a gang once nothing of an earlier run is left, and stops the rest of a run of which a
     * task is missing.
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
     * Returns whether tasks of a gang that are placed belong to an earlier run, or tasks of its run
     * are missing.
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

    /** Returns the placed task of {@code index}, if it is {@code id}. */
    static Optional<PlacedTask> findPlaced(
            State state, ShardId shard, JobId job, int index, TaskId id) {
        Map<Integer, PlacedTask> placed = shardJobs(state, shard).tasksOf(job).placed();
        return Optional.ofNullable(placed.get(index)).filter(t -> t.task().equals(id));
    }
}
