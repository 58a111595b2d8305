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

/** Determines why queued work of a shard waits. */
final class WaitReasons {
    private WaitReasons() {}

    /** Returns the reasons why {@code work} waits in {@code shard}, which this entry owns. */
    static PVector<Wait> of(State state, ShardState shard, QueuedWork work) {
        Demand demand = Scheduler.demand(state, shard, work);
        RejectionCounts rejections = RejectionCounts.of(shard, demand);
        PVector<Wait> waits = TreePVector.empty();
        if (work instanceof QueuedWork.Gang gang) {
            long fittingCount = fittingTaskCount(shard, demand);
            waits =
                    fittingCount < gang.tasks()
                            ? waits.plus(
                                    new Wait(WaitReason.GANG_WAITS, fittingCount, gang.tasks()))
                            : waits;
        }
        if (rejections.fitting() == 0) {
            waits = waits.plus(noWorkerFits(rejections));
        }
        Resources requiredSize =
                work instanceof QueuedWork.Gang gang
                        ? work.size().times(gang.tasks())
                        : work.size();
        if (!Limits.allows(state, shard, work.team(), requiredSize)) {
            waits =
                    waits.plus(
                            Wait.of(
                                    new LimitUsage(
                                            limitOf(state, work.team()),
                                            FleetUsage.of(state, work.team()),
                                            shard.id(),
                                            Limits.available(state, shard, work.team()),
                                            shard.usageOf(work.team()),
                                            Optional.of(work.waitingSinceMillis()))));
        }
        return waits.plusAll(behindOtherWork(state, shard, work));
    }

    /**
     * Returns the reason why work of {@code team} waits in {@code shard}, which another entry owns:
     * {@link WaitReason#LIMIT_REACHED} if gossip shows that the team's budget does not cover its
     * waiting work, otherwise {@link WaitReason#OTHER_OWNER}.
     */
    static Wait inRemoteShard(State state, ShardId shard, TeamId team) {
        Optional<TeamLoad> load =
                ShardOwners.find(state, shard)
                        .flatMap(o -> Optional.ofNullable(o.summary().teams().get(team)));
        return load.filter(l -> !l.waiting().isZero() && l.budget().isPresent())
                .map(
                        l ->
                                Wait.of(
                                        new LimitUsage(
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

    private static Wait noWorkerFits(RejectionCounts rejections) {
        if (rejections.tooSmall() == rejections.total()) {
            return new Wait(WaitReason.NO_WORKER_LARGE_ENOUGH, 0, rejections.total());
        }
        return rejections.withoutFreeCapacity() + rejections.withoutFreeSlot() == 0
                ? new Wait(WaitReason.WORKERS_UNAVAILABLE, 0, rejections.unavailable())
                : new Wait(WaitReason.NO_FREE_WORKER, 0, 1);
    }

    /** Returns the number of tasks with {@code demand} that fit into the free capacity now. */
    static long fittingTaskCount(ShardState shard, Demand demand) {
        long fittingCount = 0;
        Resources reserve = demand.requiredFree().minus(demand.size());
        for (WorkerKey worker : shard.workerIndex().byFree()) {
            Resources remaining = worker.free().minus(reserve);
            while (demand.size().fitsIn(remaining) && !demand.size().isZero()) {
                fittingCount++;
                remaining = remaining.minus(demand.size());
            }
        }
        return fittingCount;
    }

    private static PVector<Wait> behindOtherWork(State state, ShardState shard, QueuedWork work) {
        LaneKey ownLane = new LaneKey(work.lane(), work.team());
        int workAheadCount = 0;
        for (QueuedWork other : shard.queue().lane(ownLane).values()) {
            if (other.equals(work)) {
                break;
            }
            workAheadCount++;
        }
        PVector<Wait> waits = TreePVector.empty();
        double share = Scheduler.weightedShare(state, work.team());
        int teamsAheadCount = 0;
        for (LaneKey key : shard.queue().lanes().keySet()) {
            if (key.lane().compareTo(ownLane.lane()) < 0) {
                workAheadCount += shard.queue().lane(key).size();
            } else if (key.lane() == ownLane.lane()
                    && hasLowerShare(state, key.team(), ownLane, share)) {
                teamsAheadCount++;
            }
        }
        if (workAheadCount > 0) {
            waits = waits.plus(new Wait(WaitReason.BEHIND_EARLIER_WORK, 0, workAheadCount));
        }
        return teamsAheadCount > 0
                ? waits.plus(new Wait(WaitReason.BEHIND_OTHER_TEAMS, 0, teamsAheadCount))
                : waits;
    }

    private static boolean hasLowerShare(State state, TeamId team, LaneKey ownLane, double share) {
        return !team.equals(ownLane.team()) && Scheduler.weightedShare(state, team) < share;
    }
}
