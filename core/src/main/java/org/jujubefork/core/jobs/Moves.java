package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.membership.Freshness;
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
 * Moves unstarted tasks of batch jobs to a shard that has room.
 *
 * <p>A write that is delayed by a pause must not move tasks that a successor has started meanwhile.
 * So the owner first announces the move in the record, and completes it only after each of its
 * workers has renewed the lease since the announcement was seen: no successor can then have placed
 * work before the announcement. A successor does not start announced tasks; it withdraws the
 * announcement, and compare-and-swap lets only one of both writes succeed.
 */
final class Moves {
    /** Time between two moves from one shard. */
    static final long INTERVAL_MILLIS = 2_000;

    /** Time after which a move that is not completed is withdrawn. */
    static final long GIVE_UP_MILLIS = 40_000;

    /** Most tasks in one move. */
    static final int MAX_TASKS = 500;

    private Moves() {}

    /** Returns whether another owner has announced a move of tasks of {@code shard}. */
    static boolean isForeign(State state, ShardId shard, JobId job) {
        boolean own =
                JobQueue.shardJobs(state, shard).move().map(m -> m.job().equals(job)).orElse(false);
        return !own && announcedPart(state, shard, job).isPresent();
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

    /** Withdraws an announced move, unless another change of the parts is under way. */
    static State clear(State state, ShardId shard, JobId job) {
        Optional<JobPart> part = announcedPart(state, shard, job);
        JobWork work = state.jobs().work().get(job);
        boolean busy = work != null && work.edit().isPresent();
        if (part.isEmpty() || busy) {
            return state;
        }
        PartEdit edit =
                new PartEdit(
                        shard,
                        part.get().from(),
                        part.get().to(),
                        part.get().movingTo(),
                        shard,
                        Optional.empty(),
                        0);
        return JobWrites.edit(state, job, Optional.of(edit));
    }

    /** Goes on with the move of {@code shard}, or begins one. */
    static Transition tick(State state, ShardId shard) {
        ShardJobs jobs = JobQueue.shardJobs(state, shard);
        if (jobs.move().isPresent()) {
            return Transition.of(proceed(state, shard, jobs.move().get()));
        }
        boolean ready =
                jobs.settled()
                        && !state.draining()
                        && state.configuration().isPresent()
                        && Freshness.isStoreContactFresh(state)
                        && state.nowMillis() - jobs.movedAtMillis() >= INTERVAL_MILLIS;
        return ready ? begin(state, shard) : Transition.of(state);
    }

    private static State proceed(State state, ShardId shard, Move move) {
        StoredJob stored = state.jobs().records().get(move.job());
        if (stored == null || stored.record().state().isFinal()) {
            return end(state, shard, move);
        }
        boolean announced =
                stored.record()
                        .part(move.from())
                        .map(
                                p ->
                                        p.shard().equals(shard)
                                                && p.to() >= move.to()
                                                && p.movingTo().equals(Optional.of(move.target())))
                        .orElse(false);
        if (!announced) {
            return unannounced(state, shard, move);
        }
        if (move.revision() != stored.revision()) {
            Move seen = move.announced(state.nowMillis(), stored.revision());
            ShardJobs jobs = JobQueue.shardJobs(state, shard);
            return JobQueue.withShardJobs(
                    state, shard, jobs.withMove(Optional.of(seen), jobs.movedAtMillis()));
        }
        return complete(state, shard, move);
    }

    private static State unannounced(State state, ShardId shard, Move move) {
        JobWork work = state.jobs().work().get(move.job());
        boolean over =
                move.announcedMillis() != Move.NOT_YET
                        || work == null
                        || work.edit().isEmpty()
                        || state.nowMillis() - move.sinceMillis() >= GIVE_UP_MILLIS;
        return over ? end(state, shard, move) : state;
    }

    private static State complete(State state, ShardId shard, Move move) {
        JobWork work = state.jobs().work().get(move.job());
        if (work != null && work.edit().isPresent()) {
            return state;
        }
        boolean held =
                state.shards().get(shard).workers().values().stream()
                        .allMatch(
                                w ->
                                        w.phase() == WorkerPhase.ACTIVE
                                                && w.grantedRequestSentAtMillis()
                                                        > move.announcedMillis());
        if (!held) {
            boolean late = state.nowMillis() - move.sinceMillis() >= GIVE_UP_MILLIS;
            return late ? end(state, shard, move) : state;
        }
        PartEdit edit =
                new PartEdit(
                        shard,
                        move.from(),
                        move.to(),
                        Optional.of(move.target()),
                        move.target(),
                        Optional.empty(),
                        move.revision());
        return JobWrites.edit(state, move.job(), Optional.of(edit));
    }

    /** Ends the move; an announcement that is left is then withdrawn like that of another owner. */
    private static State end(State state, ShardId shard, Move move) {
        ShardJobs jobs = JobQueue.shardJobs(state, shard);
        State without =
                JobQueue.withShardJobs(
                        state, shard, jobs.withMove(Optional.empty(), state.nowMillis()));
        JobWork work = state.jobs().work().get(move.job());
        boolean own = work != null && work.edit().map(e -> e.shard().equals(shard)).orElse(false);
        State withdrawn = own ? JobWrites.edit(without, move.job(), Optional.empty()) : without;
        return JobQueue.reload(withdrawn, shard, move.job());
    }

    private static Transition begin(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        for (var lane : owned.queue().lanes().entrySet()) {
            QueuedWork head = lane.getValue().firstEntry().getValue();
            boolean stuck =
                    lane.getKey().lane() == Lane.BATCH
                            && head instanceof QueuedWork.Task
                            && !fitsHere(state, owned, head);
            if (stuck) {
                Transition begun = begin(state, shard, (QueuedWork.Task) head);
                if (!begun.effects().isEmpty()) {
                    return begun;
                }
            }
        }
        return Transition.of(state);
    }

    private static boolean fitsHere(State state, ShardState owned, QueuedWork work) {
        return PlacementPolicies.BEST_FIT
                .choose(owned.workerIndex(), Scheduler.demand(state, owned, work))
                .isPresent();
    }

    private static Transition begin(State state, ShardId shard, QueuedWork.Task head) {
        Optional<JobRecord> record = state.jobs().record(head.job());
        JobWork work = state.jobs().work().get(head.job());
        boolean busy = work != null && work.edit().isPresent();
        Optional<Rooms.Room> target = Rooms.idle(state, shard, head.size());
        if (record.isEmpty() || record.get().kind() != WorkKind.BATCH || busy || target.isEmpty()) {
            return Transition.of(state);
        }
        int most = (int) Math.min(MAX_TASKS, target.get().tasksNow());
        Optional<JobPart> range = unstarted(state, shard, record.get(), most);
        return range.map(r -> announce(state, shard, head, r, target.get().shard()))
                .orElseGet(() -> Transition.of(state));
    }

    /**
     * Returns the last tasks of the shard's last part that were not started, at most {@code most}.
     */
    private static Optional<JobPart> unstarted(
            State state, ShardId shard, JobRecord record, int most) {
        PartState known = JobQueue.shardJobs(state, shard).part(record.id());
        Optional<JobPart> last = Optional.empty();
        for (JobPart part : record.parts()) {
            if (part.shard().equals(shard) && part.movingTo().isEmpty()) {
                last = Optional.of(part);
            }
        }
        if (last.isEmpty()) {
            return last;
        }
        int from = last.get().to();
        while (from > last.get().from()
                && last.get().to() - from < most
                && (known.todo().contains(from - 1) || known.queued().containsKey(from - 1))) {
            from--;
        }
        return from == last.get().to()
                ? Optional.empty()
                : Optional.of(JobPart.of(shard, from, last.get().to()));
    }

    private static Transition announce(
            State state, ShardId shard, QueuedWork.Task head, JobPart range, ShardId target) {
        Move move =
                new Move(
                        head.job(),
                        range.from(),
                        range.to(),
                        target,
                        state.nowMillis(),
                        Move.NOT_YET,
                        0);
        PartEdit edit =
                new PartEdit(
                        shard,
                        range.from(),
                        range.to(),
                        Optional.empty(),
                        shard,
                        Optional.of(target),
                        0);
        ShardJobs jobs = JobQueue.shardJobs(state, shard);
        State moving =
                JobQueue.withShardJobs(
                        state, shard, jobs.withMove(Optional.of(move), state.nowMillis()));
        // The tasks leave the queue here, before the tick sends the write.
        State removed =
                JobQueue.reload(
                        JobWrites.edit(moving, head.job(), Optional.of(edit)), shard, head.job());
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
