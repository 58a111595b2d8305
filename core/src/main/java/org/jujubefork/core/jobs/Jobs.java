package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.ownership.UnreachableOwners;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.PSortedMap;

/** Keeps jobs and their records in line with what runs. */
public final class Jobs {
    /** Jobs of a shard for which tasks are queued in one tick. */
    static final int MAX_REFILLS_PER_TICK = 100;

    /** Delayed tasks of a shard that are queued again in one tick. */
    static final int MAX_DELAYED_PER_TICK = 500;

    private Jobs() {}

    /** Reduces news of jobs. */
    public static Transition reduce(State state, JobEvent event) {
        return switch (event) {
            case JobEvent.JobRecordsChanged e -> changed(state, e);
            case JobEvent.JobSubmitted e -> Submissions.submitted(state, e);
            case JobEvent.JobCancelRequested e -> Submissions.cancelRequested(state, e);
            case JobEvent.JobWritten e ->
                    learn(state, e.stored())
                            .then(
                                    s ->
                                            Transition.of(
                                                    JobWrites.confirmed(
                                                            s, e.stored().record().id())));
            case JobEvent.JobWriteFailed e ->
                    Submissions.failed(state, e).then(s -> JobWrites.failed(s, e));
        };
    }

    /** Queues and stops tasks, writes records and answers callers, as far as that is due. */
    public static Transition tick(State state) {
        Transition result = Transition.of(withoutLostShards(state));
        for (ShardId shard : state.shards().keySet()) {
            result = result.then(s -> tickShard(s, shard));
        }
        return result.then(Submissions::tick).then(JobWrites::tick).then(Retention::tick);
    }

    /** Records that a task of a job was placed on a worker, or was found running there. */
    public static Transition taskPlaced(State state, ShardId shard, RunningTask task) {
        return task.spec().job().isPresent()
                ? Ends.placed(state, shard, task)
                : Transition.of(state);
    }

    /** Records that a task of a job ended on {@code worker}. */
    public static Transition taskEnded(
            State state, ShardId shard, WorkerId worker, EndedTask task) {
        return Ends.ended(state, shard, worker, task);
    }

    /**
     * Records that a task of a job is surely not running any more, and that its result is not
     * known.
     */
    public static Transition taskLost(State state, ShardId shard, RunningTask task) {
        return Ends.lost(state, shard, task);
    }

    /** Records that a task of a job was not started. */
    public static Transition startRefused(State state, ShardId shard, RunningTask task) {
        return Ends.refused(state, shard, task);
    }

    private static State withoutLostShards(State state) {
        PSortedMap<ShardId, ShardJobs> kept = state.jobs().shards();
        for (var entry : state.jobs().shards().entrySet()) {
            ShardState owned = state.shards().get(entry.getKey());
            if (owned == null || !owned.epoch().equals(entry.getValue().epoch())) {
                kept = kept.minus(entry.getKey());
            }
        }
        return kept == state.jobs().shards()
                ? state
                : state.withJobs(state.jobs().withShards(kept));
    }

    private static Transition tickShard(State state, ShardId shard) {
        State settled = settle(state, shard);
        Transition result = Transition.of(endDelays(settled, shard));
        int left = MAX_REFILLS_PER_TICK;
        for (DueJob next : JobQueue.shardJobs(result.state(), shard).refill()) {
            if (left-- == 0 || !JobQueue.shardJobs(settled, shard).settled()) {
                break;
            }
            // The submission time may have become known only after the job was noted.
            ShardJobs jobs = JobQueue.shardJobs(result.state(), shard);
            ShardJobs rest = jobs.withRefill(jobs.refill().minus(next));
            result =
                    result.withState(JobQueue.withShardJobs(result.state(), shard, rest))
                            .then(s -> JobQueue.refill(s, shard, next.job()));
        }
        return result.then(s -> Closing.tick(s, shard)).then(s -> Moves.tick(s, shard));
    }

    /**
     * Notes when every worker of the shard was acquired, or has surely stopped what an earlier
     * owner had started there; before, a task could be started twice.
     */
    private static State settle(State state, ShardId shard) {
        ShardJobs jobs = JobQueue.shardJobs(state, shard);
        ShardState owned = state.shards().get(shard);
        boolean over =
                UnreachableOwners.areRuledOut(state)
                        && state.nowMillis() - owned.claimedAtMillis()
                                >= state.timing().leaseOverAfterMillis();
        boolean settled =
                jobs.settled()
                        || over
                        || owned.workers().values().stream().allMatch(w -> w.incarnation() != 0);
        return JobQueue.withShardJobs(
                state, shard, settled && !jobs.settled() ? jobs.asSettled() : jobs);
    }

    private static State endDelays(State state, ShardId shard) {
        State result = state;
        for (int i = 0; i < MAX_DELAYED_PER_TICK; i++) {
            ShardJobs jobs = JobQueue.shardJobs(result, shard);
            DelayedTask next = jobs.delayed().isEmpty() ? null : jobs.delayed().first();
            if (next == null || next.atMillis() > state.nowMillis()) {
                return result;
            }
            PartState part = jobs.part(next.job());
            ShardJobs rest = jobs.withDelayed(jobs.delayed().minus(next));
            if (!part.delayed().contains(next.index())) {
                result = JobQueue.withShardJobs(result, shard, rest);
                continue;
            }
            rest = rest.with(next.job(), part.withDelayed(part.delayed().minus(next.index())));
            result =
                    JobQueue.again(
                            JobQueue.withShardJobs(result, shard, rest),
                            shard,
                            next.job(),
                            next.index());
        }
        return result;
    }

    private static Transition changed(State state, JobEvent.JobRecordsChanged event) {
        Transition result = Transition.of(state);
        for (StoredJob stored : event.records()) {
            result = result.then(s -> learn(s, stored));
        }
        for (JobId job : event.removed()) {
            result = result.then(s -> removed(s, job));
        }
        return result;
    }

    private static Transition removed(State state, JobId job) {
        State forgotten = JobWrites.forget(state, job);
        Transition result = Transition.of(forgotten.withJobs(forgotten.jobs().withoutRecord(job)));
        for (ShardState shard : state.shards().values()) {
            if (!JobQueue.shardJobs(state, shard.id()).part(job).isIdle()) {
                result = result.then(s -> Closing.add(s, shard.id(), job, s.nowMillis()));
            }
        }
        return result;
    }

    /** Takes over a record that is known to be in the store, if it is newer than the known one. */
    private static Transition learn(State state, StoredJob stored) {
        JobId job = stored.record().id();
        Optional<JobRecord> before = state.jobs().record(job);
        JobTable table = state.jobs().withRecord(stored, state.nowMillis());
        if (table == state.jobs()) {
            return Transition.of(state);
        }
        State known = Submissions.dropped(state.withJobs(table), job);
        Transition result = JobWrites.settle(known, job).then(s -> JobWrites.answerCallers(s, job));
        for (ShardId shard : state.shards().keySet()) {
            result = result.then(s -> align(s, shard, before, stored.record()));
        }
        return result;
    }

    private static Transition align(
            State state, ShardId shard, Optional<JobRecord> before, JobRecord record) {
        JobId job = record.id();
        boolean placed = !JobQueue.shardJobs(state, shard).part(job).isIdle();
        boolean concerned =
                placed || record.isIn(shard) || before.map(b -> b.isIn(shard)).orElse(false);
        if (!concerned) {
            return Transition.of(state);
        }
        if (record.state().isFinal()) {
            return Closing.add(state, shard, job, state.nowMillis());
        }
        boolean divided = before.isEmpty() || !before.get().parts().equals(record.parts());
        boolean settled = JobQueue.shardJobs(state, shard).settled();
        if (divided && settled) {
            return Transition.of(JobQueue.reload(state, shard, job))
                    .then(s -> JobQueue.refill(s, shard, job));
        }
        return Transition.of(
                divided || record.kind() == WorkKind.GANG
                        ? JobQueue.refilling(state, shard, job)
                        : state);
    }
}
