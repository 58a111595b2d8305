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

/** Places jobs that need all their tasks at once, and keeps workers for those that wait long. */
final class Gangs {
    /** Gangs for which a reservation is tried in one pass; each looks at all workers. */
    private static final int MAX_TRIED = 4;

    private Gangs() {}

    /**
     * A worker that could take tasks of a gang.
     *
     * @param worker the worker
     * @param now how many tasks fit now
     * @param later how many tasks fit once its batch tasks have ended
     */
    private record Room(WorkerId worker, int now, int later) {
        /** Workers on which most room is free already come first, because they delay least. */
        static final Comparator<Room> SOONEST =
                Comparator.comparingDouble((Room r) -> -(double) r.now() / r.later())
                        .thenComparingInt(r -> -r.now())
                        .thenComparing(Room::worker);
    }

    /** Starts all tasks of {@code gang}, or none if not all of them fit. */
    static Optional<Transition> place(
            State state, ShardId shard, WorkQueue.Position position, QueuedWork.Gang gang) {
        ShardState owned = state.shards().get(shard);
        Resources total = gang.size().times(gang.tasks());
        if (!Limits.allows(state, owned, gang.team(), total)) {
            return Optional.empty();
        }
        Optional<Reservation> reservation =
                owned.scheduling().reservation().filter(r -> r.position().equals(position));
        if (reservation.isPresent()) {
            return placeReserved(state, shard, reservation.get(), gang);
        }
        Demand demand = Scheduler.demand(state, owned, gang);
        // The sum over workers is known at once and rules out most attempts on a full fleet.
        return demand.size().times(gang.tasks()).fitsIn(owned.index().byFree().free())
                ? placeAnywhere(Scheduler.without(state, shard, position), shard, gang, demand)
                : Optional.empty();
    }

    private static Optional<Transition> placeAnywhere(
            State state, ShardId shard, QueuedWork.Gang gang, Demand demand) {
        PlacementPolicy policy =
                Scheduler.placement(state.configuration().orElseThrow(), gang.kind());
        ShardState placed = state.shards().get(shard);
        List<Effect> effects = new ArrayList<>();
        for (int index = 0; index < gang.tasks(); index++) {
            Optional<WorkerId> worker = policy.choose(placed.index(), demand);
            if (worker.isEmpty()) {
                return Optional.empty();
            }
            placed = Starts.gangTask(placed, state.nowMillis(), gang, index, worker.get(), effects);
        }
        return Optional.of(
                Starts.announced(
                        new Transition(state.withShard(placed), TreePVector.from(effects)), shard));
    }

    private static Optional<Transition> placeReserved(
            State state, ShardId shard, Reservation reservation, QueuedWork.Gang gang) {
        ShardState owned = state.shards().get(shard);
        Demand demand = Scheduler.demand(state, owned, gang);
        for (var part : reservation.parts().entrySet()) {
            WorkerState worker = owned.workers().get(part.getKey());
            if (worker == null
                    || !worker.isEligible()
                    || fitting(worker.free(), demand) < part.getValue()) {
                return Optional.empty();
            }
        }
        State released = Scheduler.without(release(state, shard), shard, reservation.position());
        ShardState placed = released.shards().get(shard);
        List<Effect> effects = new ArrayList<>();
        int index = 0;
        for (var part : reservation.parts().entrySet()) {
            for (int i = 0; i < part.getValue(); i++) {
                placed =
                        Starts.gangTask(
                                placed, state.nowMillis(), gang, index, part.getKey(), effects);
                index++;
            }
        }
        return Optional.of(
                Starts.announced(
                        new Transition(released.withShard(placed), TreePVector.from(effects)),
                        shard));
    }

    /**
     * Ends a reservation whose gang is gone or whose workers no longer take work, and reserves for
     * the gang that has waited longest if it has waited long enough.
     */
    static State review(State state, ShardId shard) {
        Optional<Reservation> current = state.shards().get(shard).scheduling().reservation();
        State kept = state;
        if (current.isPresent()) {
            if (isUsable(state.shards().get(shard), current.get())) {
                return state;
            }
            kept = release(state, shard);
        }
        for (WorkQueue.Position position : waiting(kept, kept.shards().get(shard))) {
            Optional<State> reserved = reserve(kept, shard, position);
            if (reserved.isPresent()) {
                return reserved.get();
            }
        }
        return kept;
    }

    private static boolean isUsable(ShardState shard, Reservation reservation) {
        return shard.queue().at(reservation.position()).isPresent()
                && reservation.parts().keySet().stream()
                        .allMatch(w -> shard.worker(w).filter(WorkerState::isEligible).isPresent());
    }

    /**
     * Returns gangs that have waited long enough, the oldest first. Those that their team's limit
     * holds back are left out, so that they keep no workers idle.
     */
    private static List<WorkQueue.Position> waiting(State state, ShardState shard) {
        if (state.configuration().isEmpty()) {
            return List.of();
        }
        long after = state.configuration().get().tuning().gangReserveAfterMillis();
        return shard.queue().lanes().entrySet().stream()
                .filter(e -> e.getKey().lane() == Lane.GANG)
                .map(e -> new WorkQueue.Position(e.getKey(), e.getValue().firstKey()))
                .filter(p -> since(shard, p) + after <= state.nowMillis())
                .filter(p -> isWithinLimit(state, shard, p))
                .sorted(
                        Comparator.comparingLong((WorkQueue.Position p) -> since(shard, p))
                                .thenComparingLong(WorkQueue.Position::sequence))
                .limit(MAX_TRIED)
                .toList();
    }

    private static boolean isWithinLimit(
            State state, ShardState shard, WorkQueue.Position position) {
        QueuedWork.Gang gang = (QueuedWork.Gang) shard.queue().at(position).orElseThrow();
        Resources total = gang.size().times(gang.tasks());
        return Limits.allows(state, shard, gang.team(), total);
    }

    private static long since(ShardState shard, WorkQueue.Position position) {
        return shard.queue().at(position).orElseThrow().sinceMillis();
    }

    /** Reserves workers on which all tasks fit once batch tasks have ended, if there are any. */
    private static Optional<State> reserve(
            State state, ShardId shard, WorkQueue.Position position) {
        ShardState owned = state.shards().get(shard);
        QueuedWork.Gang gang = (QueuedWork.Gang) owned.queue().at(position).orElseThrow();
        Demand demand = Scheduler.demand(state, owned, gang);
        int missing = gang.tasks();
        PSortedMap<WorkerId, Integer> parts = TreePMap.empty();
        for (Room room : rooms(owned, demand)) {
            if (missing == 0) {
                break;
            }
            int part = Math.min(missing, room.later());
            parts = parts.plus(room.worker(), part);
            missing -= part;
        }
        if (missing > 0) {
            return Optional.empty();
        }
        ShardState reserved = owned;
        for (var part : parts.entrySet()) {
            WorkerState worker = reserved.workers().get(part.getKey());
            reserved = reserved.withWorker(worker.reserving(demand.size().times(part.getValue())));
        }
        Reservation made = new Reservation(position, gang.job(), state.nowMillis(), parts);
        Scheduling noted = reserved.scheduling().withReservation(Optional.of(made));
        return Optional.of(state.withShard(reserved.withScheduling(noted)));
    }

    private static List<Room> rooms(ShardState shard, Demand demand) {
        List<Room> rooms = new ArrayList<>();
        for (WorkerState worker : shard.workers().values()) {
            int later =
                    worker.isEligible()
                            ? fitting(worker.capacity().minus(worker.load().lasting()), demand)
                            : 0;
            if (later > 0) {
                int now = Math.min(later, fitting(worker.free(), demand));
                rooms.add(new Room(worker.id(), now, later));
            }
        }
        rooms.sort(Room.SOONEST);
        return rooms;
    }

    private static State release(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        ShardState released = owned;
        for (WorkerId id : owned.scheduling().reservation().orElseThrow().parts().keySet()) {
            WorkerState worker = released.workers().get(id);
            if (worker != null) {
                released = released.withWorker(worker.reserving(Resources.ZERO));
            }
        }
        return state.withShard(
                released.withScheduling(released.scheduling().withReservation(Optional.empty())));
    }

    /** Returns how many tasks fit into {@code free} beside what has to stay free. */
    static int fitting(Resources free, Demand demand) {
        Resources usable = free.minus(demand.needed().minus(demand.size()));
        long count = Integer.MAX_VALUE;
        count = Math.min(count, quotient(usable.cpuMillis(), demand.size().cpuMillis()));
        count = Math.min(count, quotient(usable.memoryMb(), demand.size().memoryMb()));
        count = Math.min(count, quotient(usable.accelerators(), demand.size().accelerators()));
        return (int) Math.max(0, count);
    }

    private static long quotient(long available, long size) {
        return size == 0 ? Integer.MAX_VALUE : Math.floorDiv(available, size);
    }
}
