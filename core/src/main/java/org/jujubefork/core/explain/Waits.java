package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.Demand;
import org.jujubefork.core.placement.FleetUsage;
import org.jujubefork.core.placement.LaneKey;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.Scheduler;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerKey;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Finds out why an item of a shard's queue waits. */
final class Waits {
    private Waits() {}

    /** Returns why {@code work} waits in {@code shard}, which this entry owns. */
    static PVector<Wait> of(State state, ShardState shard, QueuedWork work) {
        Demand demand = Scheduler.demand(state, shard, work);
        Rejections rejections = Rejections.of(shard, demand);
        PVector<Wait> waits = TreePVector.empty();
        if (work instanceof QueuedWork.Gang gang) {
            long now = fittingNow(shard, demand);
            waits =
                    now < gang.tasks()
                            ? waits.plus(new Wait(WaitReason.GANG_WAITS, now, gang.tasks()))
                            : waits;
        }
        if (rejections.fitting() == 0) {
            waits = waits.plus(noWorker(rejections));
        }
        Resources wanted =
                work instanceof QueuedWork.Gang gang
                        ? work.size().times(gang.tasks())
                        : work.size();
        if (!Limits.allows(state, shard, work.team(), wanted)) {
            waits =
                    waits.plus(
                            Wait.of(
                                    new LimitFigures(
                                            limitOf(state, work.team()),
                                            FleetUsage.of(state, work.team()),
                                            shard.id(),
                                            Limits.available(state, shard, work.team()),
                                            shard.usageOf(work.team()),
                                            Optional.of(work.waitingSinceMillis()))));
        }
        return waits.plusAll(order(state, shard, work));
    }

    /**
     * Returns why work of {@code team} waits in {@code shard}, which another entry owns: the limit
     * if gossip shows that the budget does not cover what waits, otherwise that the owner knows.
     */
    static Wait elsewhere(State state, ShardId shard, TeamId team) {
        Optional<TeamLoad> load =
                Owners.of(state, shard)
                        .flatMap(o -> Optional.ofNullable(o.summary().teams().get(team)));
        return load.filter(l -> !l.waiting().isZero() && l.budget().isPresent())
                .map(
                        l ->
                                Wait.of(
                                        new LimitFigures(
                                                limitOf(state, team),
                                                FleetUsage.of(state, team),
                                                shard,
                                                l.budget().get(),
                                                l.running(),
                                                Optional.empty())))
                .orElse(Wait.of(WaitReason.OTHER_OWNER));
    }

    private static Resources limitOf(State state, TeamId team) {
        return state.configuration()
                .flatMap(c -> c.team(team))
                .map(Team::limit)
                .orElse(Resources.ZERO);
    }

    private static Wait noWorker(Rejections rejections) {
        if (rejections.tooSmall() == rejections.considered()) {
            return new Wait(WaitReason.NO_WORKER_LARGE_ENOUGH, 0, rejections.considered());
        }
        return rejections.full() + rejections.withoutSlot() == 0
                ? new Wait(WaitReason.WORKERS_UNAVAILABLE, 0, rejections.unavailable())
                : new Wait(WaitReason.NO_FREE_WORKER, 0, 1);
    }

    /** Returns how many tasks of {@code demand} fit beside what runs now. */
    static long fittingNow(ShardState shard, Demand demand) {
        long fitting = 0;
        Resources keepFree = demand.requiredFree().minus(demand.size());
        for (WorkerKey worker : shard.workerIndex().byFree()) {
            Resources left = worker.free().minus(keepFree);
            while (demand.size().fitsIn(left) && !demand.size().isZero()) {
                fitting++;
                left = left.minus(demand.size());
            }
        }
        return fitting;
    }

    private static PVector<Wait> order(State state, ShardState shard, QueuedWork work) {
        LaneKey own = new LaneKey(work.lane(), work.team());
        int before = 0;
        for (QueuedWork other : shard.queue().lane(own).values()) {
            if (other.equals(work)) {
                break;
            }
            before++;
        }
        PVector<Wait> waits = TreePVector.empty();
        double share = Scheduler.weightedShare(state, work.team());
        int teams = 0;
        for (LaneKey key : shard.queue().lanes().keySet()) {
            if (key.lane().compareTo(own.lane()) < 0) {
                before += shard.queue().lane(key).size();
            } else if (key.lane() == own.lane() && isBefore(state, key.team(), own, share)) {
                teams++;
            }
        }
        if (before > 0) {
            waits = waits.plus(new Wait(WaitReason.BEHIND_EARLIER_WORK, 0, before));
        }
        return teams > 0 ? waits.plus(new Wait(WaitReason.BEHIND_OTHER_TEAMS, 0, teams)) : waits;
    }

    private static boolean isBefore(State state, TeamId team, LaneKey own, double share) {
        return !team.equals(own.team()) && Scheduler.weightedShare(state, team) < share;
    }
}
