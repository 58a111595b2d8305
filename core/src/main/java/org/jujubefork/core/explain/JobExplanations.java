package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.jobs.JobPart;
import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.jobs.ShardJobs;
import org.jujubefork.core.jobs.ShardTasks;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.Scheduler;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Explains the current state of jobs and why their tasks wait. */
public final class JobExplanations {
    private JobExplanations() {}

    /** Explains the current state of {@code job}; empty if this entry does not know its record. */
    public static Optional<JobExplanation> of(State state, JobId job) {
        return state.jobs().projectedRecord(job).map(record -> of(state, record));
    }

    private static JobExplanation of(State state, JobRecord record) {
        boolean isDurable = !state.jobs().pendingUpdates().containsKey(record.id());
        PVector<JobPartExplanation> parts = TreePVector.empty();
        for (JobPart part : record.parts()) {
            parts = parts.plus(of(state, record, part));
        }
        return new JobExplanation(record, isDurable, parts);
    }

    private static JobPartExplanation of(State state, JobRecord record, JobPart part) {
        ShardState ownedShard = state.shards().get(part.shard());
        Optional<String> owner = ShardOwners.ownerName(state, part.shard());
        if (ownedShard == null) {
            Wait wait =
                    owner.isPresent()
                            ? WaitReasons.inRemoteShard(state, part.shard(), record.team())
                            : Wait.of(WaitReason.NO_OWNER);
            PVector<Wait> waits =
                    record.state().isFinal() ? TreePVector.empty() : TreePVector.singleton(wait);
            return new JobPartExplanation(
                    part.shard(),
                    owner,
                    part.size(),
                    0,
                    0,
                    0,
                    Optional.empty(),
                    waits,
                    Optional.empty());
        }
        return ofOwned(state, record, part, ownedShard, owner);
    }

    private static JobPartExplanation ofOwned(
            State state,
            JobRecord record,
            JobPart part,
            ShardState ownedShard,
            Optional<String> owner) {
        ShardJobs shardJobs = state.jobs().shardJobs(ownedShard.id(), ownedShard.epoch());
        ShardTasks partState = shardJobs.tasksOf(record.id());
        Optional<QueuedWork> oldest = oldestQueued(ownedShard, partState, part, record.kind());
        boolean isGang = record.kind() == WorkKind.GANG;
        int queuedCount =
                isGang
                        ? partState.queued().size() * record.tasks()
                        : countIn(partState.queued(), part);
        int delayedCount = (int) partState.delayed().stream().filter(part::contains).count();
        int notYetQueuedCount =
                isGang ? 0 : (int) partState.unqueued().stream().filter(part::contains).count();
        PVector<Wait> waits = TreePVector.empty();
        if (!record.state().isFinal()) {
            waits = jobWaits(shardJobs, part, delayedCount, notYetQueuedCount);
            if (oldest.isPresent() && state.configuration().isPresent()) {
                waits = waits.plusAll(WaitReasons.of(state, ownedShard, oldest.get()));
            }
        }
        return new JobPartExplanation(
                part.shard(),
                owner,
                part.size(),
                countIn(partState.placed(), part),
                queuedCount,
                delayedCount,
                oldest.map(QueuedWork::waitingSinceMillis),
                waits,
                oldest.flatMap(w -> rejections(state, ownedShard, w)));
    }

    private static Optional<RejectionCounts> rejections(
            State state, ShardState ownedShard, QueuedWork work) {
        return state.configuration()
                .map(
                        c ->
                                RejectionCounts.of(
                                        ownedShard, Scheduler.demand(state, ownedShard, work)));
    }

    private static PVector<Wait> jobWaits(
            ShardJobs shardJobs, JobPart part, int delayedCount, int notYetQueuedCount) {
        PVector<Wait> waits = TreePVector.empty();
        if (!shardJobs.allTasksKnown()) {
            waits = waits.plus(Wait.of(WaitReason.SHARD_NOT_SETTLED));
        }
        if (part.movingTo().isPresent()) {
            waits = waits.plus(new Wait(WaitReason.MOVING, 0, part.size()));
        }
        if (delayedCount > 0) {
            waits = waits.plus(new Wait(WaitReason.DELAYED_AFTER_FAILURE, 0, delayedCount));
        }
        return notYetQueuedCount > 0
                ? waits.plus(new Wait(WaitReason.NOT_YET_QUEUED, 0, notYetQueuedCount))
                : waits;
    }

    private static int countIn(PSortedMap<Integer, ?> indexes, JobPart part) {
        return (int) indexes.keySet().stream().filter(part::contains).count();
    }

    private static Optional<QueuedWork> oldestQueued(
            ShardState shard, ShardTasks partState, JobPart part, WorkKind kind) {
        Optional<WorkQueue.Position> position = Optional.empty();
        for (var indexAndPosition : partState.queued().entrySet()) {
            boolean isInPart = kind == WorkKind.GANG || part.contains(indexAndPosition.getKey());
            boolean isOlder =
                    position.isEmpty()
                            || indexAndPosition.getValue().sequence() < position.get().sequence();
            if (isInPart && isOlder) {
                position = Optional.of(indexAndPosition.getValue());
            }
        }
        return position.map(p -> shard.queue().lane(p.lane()).get(p.sequence()));
    }
}
