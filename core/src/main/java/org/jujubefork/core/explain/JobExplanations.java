package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.jobs.JobPart;
import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.jobs.PartState;
import org.jujubefork.core.jobs.ShardJobs;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.Scheduler;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Answers how jobs stand. */
public final class JobExplanations {
    private JobExplanations() {}

    /** Returns how {@code job} stands, if its record is known. */
    public static Optional<JobExplanation> of(State state, JobId job) {
        return state.jobs().view(job).map(record -> of(state, record));
    }

    private static JobExplanation of(State state, JobRecord record) {
        boolean durable = !state.jobs().work().containsKey(record.id());
        PVector<PartExplanation> parts = TreePVector.empty();
        for (JobPart part : record.parts()) {
            parts = parts.plus(of(state, record, part));
        }
        return new JobExplanation(record, durable, parts);
    }

    private static PartExplanation of(State state, JobRecord record, JobPart part) {
        ShardState owned = state.shards().get(part.shard());
        Optional<String> owner = Owners.name(state, part.shard());
        if (owned == null) {
            Wait wait =
                    owner.isPresent()
                            ? Waits.elsewhere(state, part.shard(), record.team())
                            : Wait.of(WaitReason.NO_OWNER);
            PVector<Wait> waits =
                    record.state().isFinal() ? TreePVector.empty() : TreePVector.singleton(wait);
            return new PartExplanation(
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
        return ofOwned(state, record, part, owned, owner);
    }

    private static PartExplanation ofOwned(
            State state, JobRecord record, JobPart part, ShardState owned, Optional<String> owner) {
        ShardJobs jobs = state.jobs().shard(owned.id(), owned.epoch());
        PartState known = jobs.part(record.id());
        Optional<QueuedWork> oldest = oldest(owned, known, part, record.kind());
        boolean gang = record.kind() == WorkKind.GANG;
        int queued = gang ? known.queued().size() * record.tasks() : in(known.queued(), part);
        int delayed = (int) known.delayed().stream().filter(part::holds).count();
        int todo = gang ? 0 : (int) known.todo().stream().filter(part::holds).count();
        PVector<Wait> waits = TreePVector.empty();
        if (!record.state().isFinal()) {
            waits = jobWaits(jobs, part, delayed, todo);
            if (oldest.isPresent() && state.configuration().isPresent()) {
                waits = waits.plusAll(Waits.of(state, owned, oldest.get()));
            }
        }
        return new PartExplanation(
                part.shard(),
                owner,
                part.size(),
                in(known.placed(), part),
                queued,
                delayed,
                oldest.map(QueuedWork::waitingSinceMillis),
                waits,
                oldest.flatMap(w -> rejections(state, owned, w)));
    }

    private static Optional<Rejections> rejections(State state, ShardState owned, QueuedWork work) {
        return state.configuration()
                .map(c -> Rejections.of(owned, Scheduler.demand(state, owned, work)));
    }

    private static PVector<Wait> jobWaits(ShardJobs jobs, JobPart part, int delayed, int todo) {
        PVector<Wait> waits = TreePVector.empty();
        if (!jobs.settled()) {
            waits = waits.plus(Wait.of(WaitReason.SHARD_NOT_SETTLED));
        }
        if (part.movingTo().isPresent()) {
            waits = waits.plus(new Wait(WaitReason.MOVING, 0, part.size()));
        }
        if (delayed > 0) {
            waits = waits.plus(new Wait(WaitReason.DELAYED_AFTER_FAILURE, 0, delayed));
        }
        return todo > 0 ? waits.plus(new Wait(WaitReason.NOT_YET_QUEUED, 0, todo)) : waits;
    }

    private static int in(PSortedMap<Integer, ?> indexes, JobPart part) {
        return (int) indexes.keySet().stream().filter(part::holds).count();
    }

    private static Optional<QueuedWork> oldest(
            ShardState shard, PartState known, JobPart part, WorkKind kind) {
        Optional<WorkQueue.Position> position = Optional.empty();
        for (var entry : known.queued().entrySet()) {
            boolean here = kind == WorkKind.GANG || part.holds(entry.getKey());
            boolean older =
                    position.isEmpty() || entry.getValue().sequence() < position.get().sequence();
            if (here && older) {
                position = Optional.of(entry.getValue());
            }
        }
        return position.map(p -> shard.queue().lane(p.lane()).get(p.sequence()));
    }
}
