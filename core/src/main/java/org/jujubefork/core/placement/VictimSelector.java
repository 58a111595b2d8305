package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;

/**
 * Selects running tasks to preempt or throttle. No task is selected unless the waiting work fits
 * afterwards.
 */
final class VictimSelector {
    /**
     * Maximum number of batch tasks of one team that are examined in one attempt, the newest first.
     */
    static final int MAX_EXAMINED_TASKS = 256;

    private VictimSelector() {}

    /**
     * Returns tasks to preempt so that {@code work} of a team below its fair share fits. All
     * returned tasks belong to one team above its fair share; teams with higher shares are tried
     * first. Even after the preemption, that team's share is at least the share of the claiming
     * team. Otherwise two teams would preempt each other in turn.
     */
    static List<RunningTask> forShare(
            State state, ShardState shard, QueuedWork work, Demand demand) {
        if (shard.workerIndex().byFree().first(demand).isPresent()) {
            return List.of();
        }
        double claimantShare = FleetUsage.weightedShare(state, work.team(), work.size());
        double fairShare = FleetUsage.fairShare(state);
        for (TeamId team : teamsByShareDescending(shard, state)) {
            if (team.equals(work.team()) || FleetUsage.weightedShare(state, team) <= fairShare) {
                continue;
            }
            List<RunningTask> selected = newestOnOneWorker(state, shard, team, demand);
            if (!selected.isEmpty() && staysAboveClaimant(state, team, selected, claimantShare)) {
                return selected;
            }
        }
        return List.of();
    }

    /**
     * Returns batch tasks to preempt for an urgent request; teams with the highest weighted shares
     * come first.
     */
    static List<RunningTask> forUrgent(State state, ShardState shard, Demand demand) {
        for (TeamId team : teamsByShareDescending(shard, state)) {
            List<RunningTask> selected = newestOnOneWorker(state, shard, team, demand);
            if (!selected.isEmpty()) {
                return selected;
            }
        }
        return List.of();
    }

    /**
     * Returns tasks to preempt on the workers reserved for {@code gang}, so that all its tasks fit.
     * Tasks of the gang's own team, and of teams that would fall below their fair share or below
     * the share of the gang's team, are not selected; returns an empty list if preempting the other
     * tasks does not free enough capacity.
     */
    static List<RunningTask> forGang(
            State state, ShardState shard, QueuedWork.Gang gang, Demand demand) {
        var reservation = shard.schedulerState().reservation();
        if (reservation.isEmpty() || !reservation.get().job().equals(gang.job())) {
            return List.of();
        }
        double fairShare = FleetUsage.fairShare(state);
        Resources gangSize = gang.size().times(gang.tasks());
        double claimantShare = FleetUsage.weightedShare(state, gang.team(), gangSize);
        Map<TeamId, Resources> freedResources = new HashMap<>();
        List<RunningTask> selected = new ArrayList<>();
        for (var assignment : reservation.get().tasksByWorker().entrySet()) {
            WorkerState worker = shard.workers().get(assignment.getKey());
            List<RunningTask> victimsOnWorker = new ArrayList<>();
            for (RunningTask task : preemptibleNewestFirst(state, shard, worker)) {
                if (Gangs.fittingTaskCount(freeAfter(worker, victimsOnWorker), demand)
                        >= assignment.getValue()) {
                    break;
                }
                TeamId team = task.spec().team();
                Resources freedByTeam =
                        freedResources.getOrDefault(team, Resources.ZERO).plus(task.spec().size());
                double shareAfter =
                        FleetUsage.weightedShare(state, team, Resources.ZERO.minus(freedByTeam));
                if (!team.equals(gang.team()) && shareAfter >= Math.max(fairShare, claimantShare)) {
                    freedResources.put(team, freedByTeam);
                    victimsOnWorker.add(task);
                }
            }
            if (Gangs.fittingTaskCount(freeAfter(worker, victimsOnWorker), demand)
                    < assignment.getValue()) {
                return List.of();
            }
            selected.addAll(victimsOnWorker);
        }
        return selected;
    }

    /**
     * Returns the batch tasks that still occupy reserved workers, if their number does not exceed
     * the number of tasks of the gang and the gang fits without them.
     */
    static List<RunningTask> lastOnReservedWorkers(
            State state, ShardState shard, Reservation reservation) {
        QueuedWork gang = shard.queue().at(reservation.position()).orElse(null);
        if (gang == null) {
            return List.of();
        }
        Demand demand = Scheduler.demand(state, shard, gang);
        List<RunningTask> selected = new ArrayList<>();
        int gangTaskCount = 0;
        for (var assignment : reservation.tasksByWorker().entrySet()) {
            gangTaskCount += assignment.getValue();
            WorkerState worker = shard.workers().get(assignment.getKey());
            List<RunningTask> victimsOnWorker = new ArrayList<>();
            for (RunningTask task : preemptibleNewestFirst(state, shard, worker)) {
                if (Gangs.fittingTaskCount(freeAfter(worker, victimsOnWorker), demand)
                        >= assignment.getValue()) {
                    break;
                }
                victimsOnWorker.add(task);
            }
            if (Gangs.fittingTaskCount(freeAfter(worker, victimsOnWorker), demand)
                    < assignment.getValue()) {
                return List.of();
            }
            selected.addAll(victimsOnWorker);
        }
        return selected.size() <= gangTaskCount ? selected : List.of();
    }

    /**
     * Returns batch tasks that exceed their declared sizes, on a worker where {@code demand} fits
     * by declared sizes and would fit by observed sizes if these tasks were throttled to their
     * declared sizes.
     */
    static List<RunningTask> overusingTasks(ShardState shard, Demand demand) {
        for (WorkerState worker : shard.workers().values()) {
            Resources freeByDeclared = worker.capacity().minus(worker.committed());
            boolean fitsByDeclared =
                    worker.isEligible()
                            && hasSlots(worker, demand)
                            && demand.requiredFree()
                                    .fitsIn(freeByDeclared.minus(worker.reserved()));
            if (!fitsByDeclared) {
                continue;
            }
            Resources observed = worker.load().observed();
            List<RunningTask> selected = new ArrayList<>();
            for (var id : worker.tasks()) {
                RunningTask task = shard.tasks().get(id);
                Resources overuse = task.charge().minus(task.spec().size()).max(Resources.ZERO);
                if (isRunningBatchTask(task) && !task.throttled() && !overuse.isZero()) {
                    observed = observed.minus(overuse);
                    selected.add(task);
                }
                if (demand.requiredFree().fitsIn(worker.capacity().minus(observed))) {
                    return selected;
                }
            }
        }
        return List.of();
    }

    private static boolean isRunningBatchTask(RunningTask task) {
        return task.phase() == TaskPhase.RUNNING && task.spec().kind() == WorkKind.BATCH;
    }

    private static List<TeamId> teamsByShareDescending(ShardState shard, State state) {
        List<TeamId> teams = new ArrayList<>(shard.taskIndex().batchTasksByTeam().keySet());
        teams.sort(
                Comparator.comparingDouble((TeamId t) -> -FleetUsage.weightedShare(state, t))
                        .thenComparing(t -> t));
        return teams;
    }

    private static boolean staysAboveClaimant(
            State state, TeamId team, List<RunningTask> selected, double claimantShare) {
        Resources freedResources = totalSize(selected);
        return FleetUsage.weightedShare(state, team, Resources.ZERO.minus(freedResources))
                >= claimantShare;
    }

    private static Resources totalSize(List<RunningTask> tasks) {
        return tasks.stream().map(t -> t.spec().size()).reduce(Resources.ZERO, Resources::plus);
    }

    /**
     * Returns the newest tasks of {@code team} whose preemption frees enough capacity on one
     * worker.
     */
    private static List<RunningTask> newestOnOneWorker(
            State state, ShardState shard, TeamId team, Demand demand) {
        Map<WorkerId, List<RunningTask>> byWorker = new HashMap<>();
        int examined = 0;
        for (BatchTaskKey key : shard.taskIndex().batchTasksOf(team).descendingSet()) {
            if (++examined > MAX_EXAMINED_TASKS) {
                break;
            }
            RunningTask task = shard.tasks().get(key.task());
            WorkerState worker = shard.workers().get(task.worker());
            if (!isPreemptible(state, shard, task) || !hasSlots(worker, demand)) {
                continue;
            }
            List<RunningTask> selected =
                    byWorker.computeIfAbsent(task.worker(), w -> new ArrayList<>());
            selected.add(task);
            if (demand.requiredFree()
                    .fitsIn(freeAfter(worker, selected).minus(worker.reserved()))) {
                return selected;
            }
        }
        return List.of();
    }

    /**
     * Returns the resources that are free once {@code tasks} have ended, by the larger of declared
     * and observed sizes.
     */
    private static Resources freeAfter(WorkerState worker, List<RunningTask> tasks) {
        Resources declared = worker.committed().minus(totalSize(tasks));
        Resources observed = worker.load().observed();
        for (RunningTask task : tasks) {
            observed = observed.minus(task.charge());
        }
        return worker.capacity().minus(declared.max(observed));
    }

    /** Returns whether enough request slots are free; preempting batch tasks does not free any. */
    private static boolean hasSlots(WorkerState worker, Demand demand) {
        return demand.requiredSlots() == 0
                || worker.freeSlots() >= demand.requiredSlots() + demand.reservedSlots();
    }

    private static boolean isPreemptible(State state, ShardState shard, RunningTask task) {
        return isRunningBatchTask(task)
                && task.spec().jobTask().isPresent()
                && shard.workers().get(task.worker()).isEligible()
                && !shard.schedulerState()
                        .isProtectedFromPreemption(task.spec().jobTask().get(), state.nowMillis());
    }

    private static List<RunningTask> preemptibleNewestFirst(
            State state, ShardState shard, WorkerState worker) {
        return worker.tasks().stream()
                .map(shard.tasks()::get)
                .filter(t -> isPreemptible(state, shard, t))
                .sorted(
                        Comparator.comparingLong(RunningTask::placedAtMillis)
                                .reversed()
                                .thenComparing(t -> t.spec().id()))
                .toList();
    }
}
