package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * Places gangs, whose tasks must all start at once, and reserves workers for gangs that have waited
 * long.
 */
final class Gangs {
    /**
     * Maximum number of gangs for which a reservation is attempted in one tick; each attempt scans
     * all workers.
     */
    private static final int MAX_RESERVATION_ATTEMPTS = 4;

    private Gangs() {}

    /**
     * A worker that could run tasks of a gang.
     *
     * @param worker the worker
     * @param fitsNow how many tasks fit now
     * @param fitsLater how many tasks fit once the worker's batch tasks have ended
     */
    private record CandidateWorker(WorkerId worker, int fitsNow, int fitsLater) {
        /**
         * Prefers workers on which the largest part of the required capacity is already free,
         * because they delay the gang least.
         */
        static final Comparator<CandidateWorker> MOST_FREE_FIRST =
                Comparator.comparingDouble(
                                (CandidateWorker candidate) ->
                                        -(double) candidate.fitsNow() / candidate.fitsLater())
                        .thenComparingInt(candidate -> -candidate.fitsNow())
                        .thenComparing(CandidateWorker::worker);
    }

    /** Starts all tasks of {@code gang}; returns empty if not all of them fit. */
    static Optional<Transition> place(
            State state, ShardId shard, WorkQueue.Position position, QueuedWork.Gang gang) {
        ShardState owned = state.shards().get(shard);
        Resources totalSize = gang.size().times(gang.tasks());
        if (!Limits.allows(state, owned, gang.team(), totalSize)) {
            return Optional.empty();
        }
        Optional<Reservation> reservation =
                owned.schedulerState().reservation().filter(r -> r.position().equals(position));
        if (reservation.isPresent()) {
            return placeReserved(state, shard, reservation.get(), gang);
        }
        Demand demand = Scheduler.demand(state, owned, gang);
        // The precomputed total of free resources rules out most attempts on a full fleet.
        return demand.size().times(gang.tasks()).fitsIn(owned.workerIndex().byFree().totalFree())
                ? placeAnywhere(Scheduler.dequeue(state, shard, position), shard, gang, demand)
                : Optional.empty();
    }

    private static Optional<Transition> placeAnywhere(
            State state, ShardId shard, QueuedWork.Gang gang, Demand demand) {
        PlacementPolicy policy =
                Scheduler.placementPolicy(state.configuration().orElseThrow(), gang.kind());
        ShardState placed = state.shards().get(shard);
        List<Effect> effects = new ArrayList<>();
        for (int index = 0; index < gang.tasks(); index++) {
            Optional<WorkerId> worker = policy.choose(placed.workerIndex(), demand);
            if (worker.isEmpty()) {
                return Optional.empty();
            }
            placed =
                    TaskLauncher.placeGangTask(
                            placed, state.nowMillis(), gang, index, worker.get(), effects);
        }
        return Optional.of(
                TaskLauncher.withJobsNotified(
                        new Transition(state.withShard(placed), TreePVector.from(effects)), shard));
    }

    private static Optional<Transition> placeReserved(
            State state, ShardId shard, Reservation reservation, QueuedWork.Gang gang) {
        ShardState owned = state.shards().get(shard);
        Demand demand = Scheduler.demand(state, owned, gang);
        for (var assignment : reservation.tasksByWorker().entrySet()) {
            WorkerState worker = owned.workers().get(assignment.getKey());
            if (worker == null
                    || !worker.isEligible()
                    || fittingTaskCount(worker.free(), demand) < assignment.getValue()) {
                return Optional.empty();
            }
        }
        State released =
                Scheduler.dequeue(releaseReservation(state, shard), shard, reservation.position());
        ShardState placed = released.shards().get(shard);
        List<Effect> effects = new ArrayList<>();
        int index = 0;
        for (var assignment : reservation.tasksByWorker().entrySet()) {
            for (int i = 0; i < assignment.getValue(); i++) {
                placed =
                        TaskLauncher.placeGangTask(
                                placed,
                                state.nowMillis(),
                                gang,
                                index,
                                assignment.getKey(),
                                effects);
                index++;
            }
        }
        return Optional.of(
                TaskLauncher.withJobsNotified(
                        new Transition(released.withShard(placed), TreePVector.from(effects)),
                        shard));
    }

    /**
     * Releases a reservation whose gang is no longer queued or whose workers no longer accept work.
     * If no reservation remains, reserves workers for the gang with the longest wait for which
     * enough of them can be reserved.
     */
    static State reviewReservation(State state, ShardId shard) {
        Optional<Reservation> current = state.shards().get(shard).schedulerState().reservation();
        State released = state;
        if (current.isPresent()) {
            if (isUsable(state.shards().get(shard), current.get())) {
                return state;
            }
            released = releaseReservation(state, shard);
        }
        for (WorkQueue.Position position :
                gangsDueForReservation(released, released.shards().get(shard))) {
            Optional<State> reserved = reserve(released, shard, position);
            if (reserved.isPresent()) {
                return reserved.get();
            }
        }
        return released;
    }

    private static boolean isUsable(ShardState shard, Reservation reservation) {
        return shard.queue().at(reservation.position()).isPresent()
                && reservation.tasksByWorker().keySet().stream()
                        .allMatch(w -> shard.worker(w).filter(WorkerState::isEligible).isPresent());
    }

    /**
     * Returns gangs that have waited long enough for a reservation, the oldest first. Gangs that
     * exceed the limit of their team are omitted, because a reservation for them would only keep
     * workers idle.
     */
    private static List<WorkQueue.Position> gangsDueForReservation(State state, ShardState shard) {
        if (state.configuration().isEmpty()) {
            return List.of();
        }
        long reserveAfterMillis = state.configuration().get().tuning().gangReserveAfterMillis();
        return shard.queue().lanes().entrySet().stream()
                .filter(e -> e.getKey().lane() == Lane.GANG)
                .map(e -> new WorkQueue.Position(e.getKey(), e.getValue().firstKey()))
                .filter(p -> waitingSinceMillis(shard, p) + reserveAfterMillis <= state.nowMillis())
                .filter(p -> isWithinLimit(state, shard, p))
                .sorted(
                        Comparator.comparingLong(
                                        (WorkQueue.Position p) -> waitingSinceMillis(shard, p))
                                .thenComparingLong(WorkQueue.Position::sequence))
                .limit(MAX_RESERVATION_ATTEMPTS)
                .toList();
    }

    private static boolean isWithinLimit(
            State state, ShardState shard, WorkQueue.Position position) {
        QueuedWork.Gang gang = (QueuedWork.Gang) shard.queue().at(position).orElseThrow();
        Resources totalSize = gang.size().times(gang.tasks());
        return Limits.allows(state, shard, gang.team(), totalSize);
    }

    private static long waitingSinceMillis(ShardState shard, WorkQueue.Position position) {
        return shard.queue().at(position).orElseThrow().waitingSinceMillis();
    }

    /**
     * Reserves workers on which all tasks fit once the batch tasks there have ended; returns empty
     * if there are not enough such workers.
     */
    private static Optional<State> reserve(
            State state, ShardId shard, WorkQueue.Position position) {
        ShardState owned = state.shards().get(shard);
        QueuedWork.Gang gang = (QueuedWork.Gang) owned.queue().at(position).orElseThrow();
        Demand demand = Scheduler.demand(state, owned, gang);
        int unassigned = gang.tasks();
        PSortedMap<WorkerId, Integer> tasksByWorker = TreePMap.empty();
        for (CandidateWorker candidate : candidates(owned, demand)) {
            if (unassigned == 0) {
                break;
            }
            int assigned = Math.min(unassigned, candidate.fitsLater());
            tasksByWorker = tasksByWorker.plus(candidate.worker(), assigned);
            unassigned -= assigned;
        }
        if (unassigned > 0) {
            return Optional.empty();
        }
        ShardState reserved = owned;
        for (var assignment : tasksByWorker.entrySet()) {
            WorkerState worker = reserved.workers().get(assignment.getKey());
            reserved =
                    reserved.withWorker(
                            worker.withReserved(demand.size().times(assignment.getValue())));
        }
        Reservation reservation =
                new Reservation(position, gang.job(), state.nowMillis(), tasksByWorker);
        SchedulerState updated =
                reserved.schedulerState().withReservation(Optional.of(reservation));
        return Optional.of(state.withShard(reserved.withSchedulerState(updated)));
    }

    private static List<CandidateWorker> candidates(ShardState shard, Demand demand) {
        List<CandidateWorker> candidates = new ArrayList<>();
        for (WorkerState worker : shard.workers().values()) {
            int fitsLater =
                    worker.isEligible()
                            ? fittingTaskCount(
                                    worker.capacity().minus(worker.load().longRunning()), demand)
                            : 0;
            if (fitsLater > 0) {
                int fitsNow = Math.min(fitsLater, fittingTaskCount(worker.free(), demand));
                candidates.add(new CandidateWorker(worker.id(), fitsNow, fitsLater));
            }
        }
        candidates.sort(CandidateWorker.MOST_FREE_FIRST);
        return candidates;
    }

    private static State releaseReservation(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        ShardState released = owned;
        for (WorkerId id :
                owned.schedulerState().reservation().orElseThrow().tasksByWorker().keySet()) {
            WorkerState worker = released.workers().get(id);
            if (worker != null) {
                released = released.withWorker(worker.withReserved(Resources.ZERO));
            }
        }
        return state.withShard(
                released.withSchedulerState(
                        released.schedulerState().withReservation(Optional.empty())));
    }

    /**
     * Returns how many tasks fit into {@code free} while the resources that {@code demand} requires
     * beside them stay free.
     */
    static int fittingTaskCount(Resources free, Demand demand) {
        Resources usableFree = free.minus(demand.requiredFree().minus(demand.size()));
        long count = Integer.MAX_VALUE;
        count = Math.min(count, quotient(usableFree.cpuMillis(), demand.size().cpuMillis()));
        count = Math.min(count, quotient(usableFree.memoryMb(), demand.size().memoryMb()));
        count = Math.min(count, quotient(usableFree.accelerators(), demand.size().accelerators()));
        return (int) Math.max(0, count);
    }

    private static long quotient(long available, long size) {
        return size == 0 ? Integer.MAX_VALUE : Math.floorDiv(available, size);
    }
}
