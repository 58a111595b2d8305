package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.Lane;
import org.jujubefork.core.placement.PlacementPolicies;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.Scheduler;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerPhase;

/**
 * Migrates unstarted tasks of batch jobs to a shard with free capacity.
 *
 * <p>A write that is delayed by a process pause must not move tasks that a new owner of the shard
 * has started in the meantime. Therefore the owner first announces the migration in the job record.
 * The owner completes the migration only after each worker of the shard has renewed its lease since
 * the owner saw the announcement: this proves that no new owner placed work before the
 * announcement. A new owner does not start announced tasks; it withdraws the announcement first.
 * Both writes are compare-and-swap, so only one of them succeeds.
 */
final class TaskMigrator {
    /** Minimum time between two migrations from the same shard. */
    static final long MIN_INTERVAL_MILLIS = 2_000;

    /** Time after which a migration that cannot be completed is withdrawn. */
    static final long TIMEOUT_MILLIS = 40_000;

    /** Maximum number of tasks in one migration. */
    static final int MAX_TASKS_PER_MIGRATION = 500;

    private TaskMigrator() {}

    /**
     * Returns whether the record announces a migration of tasks of {@code shard} other than this
     * owner's ongoing migration, such as a migration that an earlier owner announced.
     */
    static boolean isAnnouncedByOther(State state, ShardId shard, JobId job) {
        boolean isOwnMigration =
                TaskEnqueuer.shardJobs(state, shard)
                        .migration()
                        .map(m -> m.job().equals(job))
                        .orElse(false);
        return !isOwnMigration && announcedPart(state, shard, job).isPresent();
    }

    private static Optional<JobPart> announcedPart(State state, ShardId shard, JobId job) {
        return state.jobs()
                .record(job)
                .flatMap(
                        r ->
                                r.parts().stream()
                                        .filter(p -> p.shard().equals(shard))
                                        .filter(p -> p.movingTo().isPresent())
                                        .findFirst());
    }

    /** Withdraws an announced migration, unless another change of the parts is pending. */
    static State withdrawAnnouncement(State state, ShardId shard, JobId job) {
        Optional<JobPart> part = announcedPart(state, shard, job);
        PendingJobUpdate update = state.jobs().pendingUpdates().get(job);
        boolean isChangePending = update != null && update.partChange().isPresent();
        if (part.isEmpty() || isChangePending) {
            return state;
        }
        JobPartChange change =
                new JobPartChange(
                        shard,
                        part.get().from(),
                        part.get().to(),
                        part.get().movingTo(),
                        shard,
                        Optional.empty(),
                        0);
        return JobRecordWriter.changeParts(state, job, Optional.of(change));
    }

    /** Advances the ongoing migration from {@code shard}, or starts one. */
    static Transition tick(State state, ShardId shard) {
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        if (jobs.migration().isPresent()) {
            return Transition.of(advance(state, shard, jobs.migration().get()));
        }
        boolean isReady =
                jobs.allTasksKnown()
                        && !state.draining()
                        && state.configuration().isPresent()
                        && ConfigurationFreshness.isStoreContactFresh(state)
                        && state.nowMillis() - jobs.lastMigrationMillis() >= MIN_INTERVAL_MILLIS;
        return isReady ? start(state, shard) : Transition.of(state);
    }

    private static State advance(State state, ShardId shard, TaskMigration migration) {
        StoredJob stored = state.jobs().records().get(migration.job());
        if (stored == null || stored.record().state().isFinal()) {
            return finish(state, shard, migration);
        }
        boolean isAnnounced =
                stored.record()
                        .part(migration.from())
                        .map(
                                p ->
                                        p.shard().equals(shard)
                                                && p.to() >= migration.to()
                                                && p.movingTo()
                                                        .equals(Optional.of(migration.target())))
                        .orElse(false);
        if (!isAnnounced) {
            return awaitAnnouncement(state, shard, migration);
        }
        if (migration.announcedRevision() != stored.revision()) {
            TaskMigration seen =
                    migration.withAnnouncementSeen(state.nowMillis(), stored.revision());
            ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
            return TaskEnqueuer.withShardJobs(
                    state,
                    shard,
                    jobs.withMigration(Optional.of(seen), jobs.lastMigrationMillis()));
        }
        return complete(state, shard, migration);
    }

    private static State awaitAnnouncement(State state, ShardId shard, TaskMigration migration) {
        PendingJobUpdate update = state.jobs().pendingUpdates().get(migration.job());
        boolean hasFailed =
                migration.announcementSeenMillis() != TaskMigration.NOT_ANNOUNCED
                        || update == null
                        || update.partChange().isEmpty()
                        || state.nowMillis() - migration.startedMillis() >= TIMEOUT_MILLIS;
        return hasFailed ? finish(state, shard, migration) : state;
    }

    private static State complete(State state, ShardId shard, TaskMigration migration) {
        PendingJobUpdate update = state.jobs().pendingUpdates().get(migration.job());
        if (update != null && update.partChange().isPresent()) {
            return state;
        }
        boolean leasesRenewed =
                state.shards().get(shard).workers().values().stream()
                        .allMatch(
                                w ->
                                        w.phase() == WorkerPhase.ACTIVE
                                                && w.grantedRequestSentAtMillis()
                                                        > migration.announcementSeenMillis());
        if (!leasesRenewed) {
            boolean hasTimedOut = state.nowMillis() - migration.startedMillis() >= TIMEOUT_MILLIS;
            return hasTimedOut ? finish(state, shard, migration) : state;
        }
        JobPartChange change =
                new JobPartChange(
                        shard,
                        migration.from(),
                        migration.to(),
                        Optional.of(migration.target()),
                        migration.target(),
                        Optional.empty(),
                        migration.announcedRevision());
        return JobRecordWriter.changeParts(state, migration.job(), Optional.of(change));
    }

    /**
     * Ends the migration. An announcement that is still in the record is then withdrawn in the same
     * way as an announcement of an earlier owner.
     */
    private static State finish(State state, ShardId shard, TaskMigration migration) {
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        State withoutMigration =
                TaskEnqueuer.withShardJobs(
                        state, shard, jobs.withMigration(Optional.empty(), state.nowMillis()));
        PendingJobUpdate update = state.jobs().pendingUpdates().get(migration.job());
        boolean hasOwnChange =
                update != null
                        && update.partChange().map(e -> e.shard().equals(shard)).orElse(false);
        State withdrawn =
                hasOwnChange
                        ? JobRecordWriter.changeParts(
                                withoutMigration, migration.job(), Optional.empty())
                        : withoutMigration;
        return TaskEnqueuer.recomputeUnqueued(withdrawn, shard, migration.job());
    }

    private static Transition start(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        for (var keyAndLane : owned.queue().lanes().entrySet()) {
            QueuedWork head = keyAndLane.getValue().firstEntry().getValue();
            boolean headDoesNotFit =
                    keyAndLane.getKey().lane() == Lane.BATCH
                            && head instanceof QueuedWork.Task
                            && !fitsInShard(state, owned, head);
            if (headDoesNotFit) {
                Transition started = start(state, shard, (QueuedWork.Task) head);
                if (!started.effects().isEmpty()) {
                    return started;
                }
            }
        }
        return Transition.of(state);
    }

    private static boolean fitsInShard(State state, ShardState owned, QueuedWork work) {
        return PlacementPolicies.BEST_FIT
                .choose(owned.workerIndex(), Scheduler.demand(state, owned, work))
                .isPresent();
    }

    private static Transition start(State state, ShardId shard, QueuedWork.Task head) {
        Optional<JobRecord> record = state.jobs().record(head.job());
        PendingJobUpdate update = state.jobs().pendingUpdates().get(head.job());
        boolean isChangePending = update != null && update.partChange().isPresent();
        Optional<ShardCapacities.Capacity> target =
                ShardCapacities.largestIdle(state, shard, head.size());
        if (record.isEmpty()
                || record.get().kind() != WorkKind.BATCH
                || isChangePending
                || target.isEmpty()) {
            return Transition.of(state);
        }
        int maxTasks = (int) Math.min(MAX_TASKS_PER_MIGRATION, target.get().tasksFittingNow());
        Optional<JobPart> range = lastUnstartedRange(state, shard, record.get(), maxTasks);
        return range.map(r -> announce(state, shard, head, r, target.get().shard()))
                .orElseGet(() -> Transition.of(state));
    }

    /**
     * Returns up to {@code maxTasks} unstarted tasks at the end of the last part that is assigned
     * to {@code shard}; empty if there are none.
     */
    private static Optional<JobPart> lastUnstartedRange(
            State state, ShardId shard, JobRecord record, int maxTasks) {
        ShardTasks tasks = TaskEnqueuer.shardJobs(state, shard).tasksOf(record.id());
        Optional<JobPart> lastPart = Optional.empty();
        for (JobPart part : record.parts()) {
            if (part.shard().equals(shard) && part.movingTo().isEmpty()) {
                lastPart = Optional.of(part);
            }
        }
        if (lastPart.isEmpty()) {
            return lastPart;
        }
        int from = lastPart.get().to();
        while (from > lastPart.get().from()
                && lastPart.get().to() - from < maxTasks
                && (tasks.unqueued().contains(from - 1) || tasks.queued().containsKey(from - 1))) {
            from--;
        }
        return from == lastPart.get().to()
                ? Optional.empty()
                : Optional.of(JobPart.of(shard, from, lastPart.get().to()));
    }

    private static Transition announce(
            State state, ShardId shard, QueuedWork.Task head, JobPart range, ShardId target) {
        TaskMigration migration =
                new TaskMigration(
                        head.job(),
                        range.from(),
                        range.to(),
                        target,
                        state.nowMillis(),
                        TaskMigration.NOT_ANNOUNCED,
                        0);
        JobPartChange change =
                new JobPartChange(
                        shard,
                        range.from(),
                        range.to(),
                        Optional.empty(),
                        shard,
                        Optional.of(target),
                        0);
        ShardJobs jobs = TaskEnqueuer.shardJobs(state, shard);
        State migrating =
                TaskEnqueuer.withShardJobs(
                        state,
                        shard,
                        jobs.withMigration(Optional.of(migration), state.nowMillis()));
        // Dequeues the tasks now, before the tick sends the write that announces the migration.
        State removed =
                TaskEnqueuer.recomputeUnqueued(
                        JobRecordWriter.changeParts(migrating, head.job(), Optional.of(change)),
                        shard,
                        head.job());
        return Transition.of(removed)
                .with(
                        new LogDecision(
                                DecisionKind.RETRIED,
                                head.job().value(),
                                Optional.of(head.team()),
                                target.value(),
                                "moving " + range.size() + " waiting tasks from " + shard,
                                0,
                                state.nowMillis() - head.waitingSinceMillis()));
    }
}
