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
 * Chooses tasks to preempt. It returns none unless the waiting work fits once all chosen tasks have
 * ended.
 */
final class VictimSelector {
    /** Batch tasks of one team that are looked at in one pass, the newest first. */
    static final int MAX_EXAMINED_TASKS = 256;

    private VictimSelector() {}

    /** Returns tasks of the team farthest above its share, without turning the order around. */
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
            List<RunningTask> chosen = newestOnOneWorker(state, shard, team, demand);
            if (!chosen.isEmpty() && staysAboveClaimant(state, team, chosen, claimantShare)) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Returns batch tasks of any team; teams farthest above their share come first. */
    static List<RunningTask> forUrgent(State state, ShardState shard, Demand demand) {
        for (TeamId team : teamsByShareDescending(shard, state)) {
            List<RunningTask> chosen = newestOnOneWorker(state, shard, team, demand);
            if (!chosen.isEmpty()) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Returns tasks that keep the workers reserved for {@code gang} from being free. */
    static List<RunningTask> forGang(
            State state, ShardState shard, QueuedWork.Gang gang, Demand demand) {
        var reservation = shard.schedulerState().reservation();
        if (reservation.isEmpty() || !reservation.get().job().equals(gang.job())) {
            return List.of();
        }
        double fairShare = FleetUsage.fairShare(state);
        Resources total = gang.size().times(gang.tasks());
        double claimantShare = FleetUsage.weightedShare(state, gang.team(), total);
        Map<TeamId, Resources> freed = new HashMap<>();
        List<RunningTask> chosen = new ArrayList<>();
        for (var part : reservation.get().tasksByWorker().entrySet()) {
            WorkerState worker = shard.workers().get(part.getKey());
            List<RunningTask> onWorker = new ArrayList<>();
            for (RunningTask task : preemptibleNewestFirst(state, shard, worker)) {
                if (Gangs.fittingTaskCount(freeAfter(worker, onWorker), demand)
                        >= part.getValue()) {
                    break;
                }
                TeamId team = task.spec().team();
                Resources freedByTeam =
                        freed.getOrDefault(team, Resources.ZERO).plus(task.spec().size());
                double shareAfter =
                        FleetUsage.weightedShare(state, team, Resources.ZERO.minus(freedByTeam));
                if (!team.equals(gang.team()) && shareAfter >= Math.max(fairShare, claimantShare)) {
                    freed.put(team, freedByTeam);
                    onWorker.add(task);
                }
            }
            if (Gangs.fittingTaskCount(freeAfter(worker, onWorker), demand) < part.getValue()) {
                return List.of();
            }
            chosen.addAll(onWorker);
        }
        return chosen;
    }

    /**
     * Returns the batch tasks that still keep reserved workers from being free, if they are at most
     * as many as the tasks of the gang and if the gang then fits.
     */
    static List<RunningTask> lastOnReservedWorkers(
            State state, ShardState shard, Reservation reservation) {
        QueuedWork gang = shard.queue().at(reservation.position()).orElse(null);
        if (gang == null) {
            return List.of();
        }
        Demand demand = Scheduler.demand(state, shard, gang);
        List<RunningTask> chosen = new ArrayList<>();
        int gangTaskCount = 0;
        for (var part : reservation.tasksByWorker().entrySet()) {
            gangTaskCount += part.getValue();
            WorkerState worker = shard.workers().get(part.getKey());
            List<RunningTask> onWorker = new ArrayList<>();
            for (RunningTask task : preemptibleNewestFirst(state, shard, worker)) {
                if (Gangs.fittingTaskCount(freeAfter(worker, onWorker), demand)
                        >= part.getValue()) {
                    break;
                }
                onWorker.add(task);
            }
            if (Gangs.fittingTaskCount(freeAfter(worker, onWorker), demand) < part.getValue()) {
                return List.of();
            }
            chosen.addAll(onWorker);
        }
        return chosen.size() <= gangTaskCount ? chosen : List.of();
    }

    /**
     * Returns batch tasks that use more than they declare, on a worker where the work fits by
     * declared sizes and would fit by observed ones if these tasks kept to theirs.
     */
    static List<RunningTask> overDeclaredUsage(ShardState shard, Demand demand) {
        for (WorkerState worker : shard.workers().values()) {
            Resources freeByDeclared = worker.capacity().minus(worker.committed());
            boolean candidate =
                    worker.isEligible()
                            && hasSlots(worker, demand)
                            && demand.requiredFree()
                                    .fitsIn(freeByDeclared.minus(worker.reserved()));
            if (!candidate) {
                continue;
            }
            Resources observed = worker.load().observed();
            List<RunningTask> chosen = new ArrayList<>();
            for (var id : worker.tasks()) {
                RunningTask task = shard.tasks().get(id);
                Resources overuse = task.charge().minus(task.spec().size()).max(Resources.ZERO);
                if (isRunningBatchTask(task) && !task.throttled() && !overuse.isZero()) {
                    observed = observed.minus(overuse);
                    chosen.add(task);
                }
                if (demand.requiredFree().fitsIn(worker.capacity().minus(observed))) {
                    return chosen;
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
            State state, TeamId team, List<RunningTask> chosen, double claimantShare) {
        Resources freed = totalSize(chosen);
        return FleetUsage.weightedShare(state, team, Resources.ZERO.minus(freed)) >= claimantShare;
    }

    private static Resources totalSize(List<RunningTask> tasks) {
        return tasks.stream().map(t -> t.spec().size()).reduce(Resources.ZERO, Resources::plus);
    }

    /** Returns the newest tasks of {@code team} that make enough room on one worker. */
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
            List<RunningTask> chosen =
                    byWorker.computeIfAbsent(task.worker(), w -> new ArrayList<>());
            chosen.add(task);
            if (demand.requiredFree().fitsIn(freeAfter(worker, chosen).minus(worker.reserved()))) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Returns what is free once {@code tasks} have ended, by declared and by observed sizes. */
    private static Resources freeAfter(WorkerState worker, List<RunningTask> tasks) {
        Resources declared = worker.committed().minus(totalSize(tasks));
        Resources observed = worker.load().observed();
        for (RunningTask task : tasks) {
            observed = observed.minus(task.charge());
        }
        return worker.capacity().minus(declared.max(observed));
    }

    /** Returns whether request slots are free; ending batch tasks does not free any. */
    private static boolean hasSlots(WorkerState worker, Demand demand) {
        return demand.requiredSlots() == 0
                || worker.freeSlots() >= demand.requiredSlots() + demand.reservedSlots();
    }

    private static boolean isPreemptible(State state, ShardState shard, RunningTask task) {
        return isRunningBatchTask(task)
                && task.spec().job().isPresent()
                && shard.workers().get(task.worker()).isEligible()
                && !shard.schedulerState()
                        .isProtectedFromPreemption(task.spec().job().get(), state.nowMillis());
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
