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
final class Victims {
    /** Batch tasks of one team that are looked at in one pass, the newest first. */
    static final int MAX_EXAMINED = 256;

    private Victims() {}

    /** Returns tasks of the team farthest above its share, without turning the order around. */
    static List<RunningTask> forShare(
            State state, ShardState shard, QueuedWork work, Demand demand) {
        if (shard.index().byFree().first(demand).isPresent()) {
            return List.of();
        }
        double claimant = FleetUsage.weightedShare(state, work.team(), work.size());
        double fair = FleetUsage.fairShare(state);
        for (TeamId team : teams(shard, state)) {
            if (team.equals(work.team()) || FleetUsage.weightedShare(state, team) <= fair) {
                continue;
            }
            List<RunningTask> chosen = onOneWorker(state, shard, team, demand);
            if (!chosen.isEmpty() && keepsOrder(state, team, chosen, claimant)) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Returns batch tasks of any team; teams farthest above their share come first. */
    static List<RunningTask> forUrgent(State state, ShardState shard, Demand demand) {
        for (TeamId team : teams(shard, state)) {
            List<RunningTask> chosen = onOneWorker(state, shard, team, demand);
            if (!chosen.isEmpty()) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Returns tasks that keep the workers reserved for {@code gang} from being free. */
    static List<RunningTask> forGang(
            State state, ShardState shard, QueuedWork.Gang gang, Demand demand) {
        var reservation = shard.scheduling().reservation();
        if (reservation.isEmpty() || !reservation.get().job().equals(gang.job())) {
            return List.of();
        }
        double fair = FleetUsage.fairShare(state);
        Resources total = gang.size().times(gang.tasks());
        double claimant = FleetUsage.weightedShare(state, gang.team(), total);
        Map<TeamId, Resources> freed = new HashMap<>();
        List<RunningTask> chosen = new ArrayList<>();
        for (var part : reservation.get().parts().entrySet()) {
            WorkerState worker = shard.workers().get(part.getKey());
            List<RunningTask> here = new ArrayList<>();
            for (RunningTask task : newestOn(state, shard, worker)) {
                if (Gangs.fitting(freeAfter(worker, here), demand) >= part.getValue()) {
                    break;
                }
                TeamId team = task.spec().team();
                Resources less = freed.getOrDefault(team, Resources.ZERO).plus(task.spec().size());
                double after = FleetUsage.weightedShare(state, team, Resources.ZERO.minus(less));
                if (!team.equals(gang.team()) && after >= Math.max(fair, claimant)) {
                    freed.put(team, less);
                    here.add(task);
                }
            }
            if (Gangs.fitting(freeAfter(worker, here), demand) < part.getValue()) {
                return List.of();
            }
            chosen.addAll(here);
        }
        return chosen;
    }

    /**
     * Returns the batch tasks that still keep reserved workers from being free, if they are at most
     * as many as the tasks of the gang and if the gang then fits.
     */
    static List<RunningTask> lastOnReserved(
            State state, ShardState shard, Reservation reservation) {
        QueuedWork gang = shard.queue().at(reservation.position()).orElse(null);
        if (gang == null) {
            return List.of();
        }
        Demand demand = Scheduler.demand(state, shard, gang);
        List<RunningTask> chosen = new ArrayList<>();
        int tasks = 0;
        for (var part : reservation.parts().entrySet()) {
            tasks += part.getValue();
            WorkerState worker = shard.workers().get(part.getKey());
            List<RunningTask> here = new ArrayList<>();
            for (RunningTask task : newestOn(state, shard, worker)) {
                if (Gangs.fitting(freeAfter(worker, here), demand) >= part.getValue()) {
                    break;
                }
                here.add(task);
            }
            if (Gangs.fitting(freeAfter(worker, here), demand) < part.getValue()) {
                return List.of();
            }
            chosen.addAll(here);
        }
        return chosen.size() <= tasks ? chosen : List.of();
    }

    /**
     * Returns batch tasks that use more than they declare, on a worker where the work fits by
     * declared sizes and would fit by observed ones if these tasks kept to theirs.
     */
    static List<RunningTask> overUsers(ShardState shard, Demand demand) {
        for (WorkerState worker : shard.workers().values()) {
            Resources declared = worker.capacity().minus(worker.committed());
            boolean candidate =
                    worker.isEligible()
                            && hasSlots(worker, demand)
                            && demand.needed().fitsIn(declared.minus(worker.reserved()));
            if (!candidate) {
                continue;
            }
            Resources observed = worker.load().observed();
            List<RunningTask> chosen = new ArrayList<>();
            for (var id : worker.tasks()) {
                RunningTask task = shard.tasks().get(id);
                Resources excess = task.charge().minus(task.spec().size()).max(Resources.ZERO);
                if (isBatch(task) && !task.throttled() && !excess.isZero()) {
                    observed = observed.minus(excess);
                    chosen.add(task);
                }
                if (demand.needed().fitsIn(worker.capacity().minus(observed))) {
                    return chosen;
                }
            }
        }
        return List.of();
    }

    private static boolean isBatch(RunningTask task) {
        return task.phase() == TaskPhase.RUNNING && task.spec().kind() == WorkKind.BATCH;
    }

    private static List<TeamId> teams(ShardState shard, State state) {
        List<TeamId> teams = new ArrayList<>(shard.book().batch().keySet());
        teams.sort(
                Comparator.comparingDouble((TeamId t) -> -FleetUsage.weightedShare(state, t))
                        .thenComparing(t -> t));
        return teams;
    }

    private static boolean keepsOrder(
            State state, TeamId team, List<RunningTask> chosen, double claimant) {
        Resources freed = sum(chosen);
        return FleetUsage.weightedShare(state, team, Resources.ZERO.minus(freed)) >= claimant;
    }

    private static Resources sum(List<RunningTask> tasks) {
        return tasks.stream().map(t -> t.spec().size()).reduce(Resources.ZERO, Resources::plus);
    }

    /** Returns the newest tasks of {@code team} that make enough room on one worker. */
    private static List<RunningTask> onOneWorker(
            State state, ShardState shard, TeamId team, Demand demand) {
        Map<WorkerId, List<RunningTask>> byWorker = new HashMap<>();
        int examined = 0;
        for (BatchKey key : shard.book().batchOf(team).descendingSet()) {
            if (++examined > MAX_EXAMINED) {
                break;
            }
            RunningTask task = shard.tasks().get(key.task());
            WorkerState worker = shard.workers().get(task.worker());
            if (!mayStop(state, shard, task) || !hasSlots(worker, demand)) {
                continue;
            }
            List<RunningTask> chosen =
                    byWorker.computeIfAbsent(task.worker(), w -> new ArrayList<>());
            chosen.add(task);
            if (demand.needed().fitsIn(freeAfter(worker, chosen).minus(worker.reserved()))) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Returns what is free once {@code tasks} have ended, by declared and by observed sizes. */
    private static Resources freeAfter(WorkerState worker, List<RunningTask> tasks) {
        Resources declared = worker.committed().minus(sum(tasks));
        Resources observed = worker.load().observed();
        for (RunningTask task : tasks) {
            observed = observed.minus(task.charge());
        }
        return worker.capacity().minus(declared.max(observed));
    }

    /** Returns whether request slots are free; ending batch tasks does not free any. */
    private static boolean hasSlots(WorkerState worker, Demand demand) {
        return demand.slots() == 0 || worker.freeSlots() >= demand.slots() + demand.keepFreeSlots();
    }

    private static boolean mayStop(State state, ShardState shard, RunningTask task) {
        return isBatch(task)
                && task.spec().job().isPresent()
                && shard.workers().get(task.worker()).isEligible()
                && !shard.scheduling().isProtected(task.spec().job().get(), state.nowMillis());
    }

    private static List<RunningTask> newestOn(State state, ShardState shard, WorkerState worker) {
        return worker.tasks().stream()
                .map(shard.tasks()::get)
                .filter(t -> mayStop(state, shard, t))
                .sorted(
                        Comparator.comparingLong(RunningTask::placedAtMillis)
                                .reversed()
                                .thenComparing(t -> t.spec().id()))
                .toList();
    }
}
