package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.model.Distance;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.placement.ShardState;

/** Chooses the shard in which a request is tried. */
final class Routing {
    /** Estimated time for which a request holds a slot, where nothing better is known. */
    static final long ASSUMED_SERVICE_MILLIS = 20;

    private Routing() {}

    /**
     * A shard and its owner.
     *
     * @param shard the shard
     * @param owner its owner; empty if this entry owns it
     * @param peerAddress the owner's address; empty if this entry owns it
     * @param costMillis the price of the route in milliseconds of waiting
     * @param alternatives how many other shards could have been chosen
     */
    record Route(
            ShardId shard,
            Optional<EntryId> owner,
            String peerAddress,
            double costMillis,
            int alternatives) {}

    /**
     * Returns the cheapest route for {@code request} that has not been tried, if any shard has a
     * live owner.
     */
    static Optional<Route> choose(State state, FrontRequest request) {
        Tuning tuning = state.configuration().orElseThrow().tuning();
        Optional<Route> best = Optional.empty();
        int routes = 0;
        for (ShardState shard : state.shards().values()) {
            if (!request.tried().contains(shard.id()) && !shard.index().byFree().isEmpty()) {
                int slots = shard.index().byFree().freeSlots();
                double cost =
                        distanceCost(state, shard.id(), tuning)
                                + waitCost(
                                        slots,
                                        shard.queue().requestCount(),
                                        shard.index().byFree().size());
                best = cheaper(best, new Route(shard.id(), Optional.empty(), "", cost, 0));
                routes++;
            }
        }
        for (Member member : state.membership().members().values()) {
            if (!Membership.isResponsive(state, member)) {
                continue;
            }
            for (var entry : member.row().shards().entrySet()) {
                ShardSummary summary = entry.getValue();
                ShardId shard = entry.getKey();
                if (request.tried().contains(shard)
                        || state.shards().containsKey(shard)
                        || summary.workers() == 0) {
                    continue;
                }
                double cost =
                        distanceCost(state, shard, tuning)
                                + tuning.crossZoneCostMillis()
                                + waitCost(
                                        summary.freeSlots(),
                                        summary.queuedRequests(),
                                        summary.workers());
                best =
                        cheaper(
                                best,
                                new Route(
                                        shard,
                                        Optional.of(member.row().id()),
                                        member.row().peerAddress(),
                                        cost,
                                        0));
                routes++;
            }
        }
        int alternatives = routes - 1;
        return best.map(
                r ->
                        new Route(
                                r.shard(),
                                r.owner(),
                                r.peerAddress(),
                                r.costMillis(),
                                alternatives));
    }

    private static Optional<Route> cheaper(Optional<Route> best, Route route) {
        return best.isPresent() && best.get().costMillis() <= route.costMillis()
                ? best
                : Optional.of(route);
    }

    private static double waitCost(int freeSlots, int queued, int workers) {
        if (freeSlots > queued) {
            return 0;
        }
        return ASSUMED_SERVICE_MILLIS * (1.0 + (double) queued / Math.max(1, workers));
    }

    private static double distanceCost(State state, ShardId shard, Tuning tuning) {
        var workers = state.fleet().byShard().get(shard);
        if (workers == null || workers.isEmpty()) {
            return tuning.crossRegionCostMillis();
        }
        WorkerListing any = workers.firstEntry().getValue();
        Location own = state.self().location();
        Distance distance = own.distanceTo(any.location());
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> tuning.crossZoneCostMillis();
            case OTHER_REGION -> tuning.crossRegionCostMillis();
        };
    }
}
