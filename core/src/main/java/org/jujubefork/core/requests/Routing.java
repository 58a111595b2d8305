package org.jujubefork.core.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.model.Distance;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.placement.ShardState;

/** Chooses the shard in which a request is tried. */
final class Routing {
    /** Estimated time for which a request holds a slot, where nothing better is known. */
    static final long ASSUMED_SERVICE_MILLIS = 20;

    /** How long a shard that failed an attempt is avoided; gossip shows the reason by then. */
    static final long AVOID_MILLIS = 1_000;

    /** Price of a shard that is avoided; it is used only if all others are worse. */
    static final double AVOIDED_COST_MILLIS = 10_000;

    /**
     * Routes whose costs differ by less count as equal. Gossip is up to seconds old; if all entries
     * took the cheapest route, they would all send to the same shard until the next gossip.
     */
    static final double NEAR_MILLIS = 1;

    /** As {@link #NEAR_MILLIS}, as a part of the expected wait, which is only an estimate. */
    static final double NEAR_PART_OF_WAIT = 0.25;

    private static final double BYTES_PER_MIB = 1024 * 1024;

    private Routing() {}

    /**
     * A shard and its owner.
     *
     * @param shard the shard
     * @param owner its owner; empty if this entry owns it
     * @param peerAddress the owner's address; empty if this entry owns it
     * @param costMillis the price of the route in milliseconds of waiting
     * @param waitMillis the part of the price that is the expected wait
     * @param alternatives how many other shards could have been chosen
     */
    record Route(
            ShardId shard,
            Optional<EntryId> owner,
            String peerAddress,
            double costMillis,
            double waitMillis,
            int alternatives) {
        Route of(int routes) {
            return new Route(shard, owner, peerAddress, costMillis, waitMillis, routes - 1);
        }
    }

    /**
     * Returns one of the cheapest routes for {@code request} that has not been tried, if any shard
     * has a live owner.
     */
    static Optional<Route> choose(State state, FrontRequest request) {
        List<Route> routes = new ArrayList<>();
        addOwned(state, request, routes);
        addRemote(state, request, routes);
        Route cheapest = null;
        for (Route route : routes) {
            if (cheapest == null || route.costMillis() < cheapest.costMillis()) {
                cheapest = route;
            }
        }
        if (cheapest == null) {
            return Optional.empty();
        }
        double bound =
                cheapest.costMillis()
                        + Math.max(NEAR_MILLIS, NEAR_PART_OF_WAIT * cheapest.waitMillis());
        List<Route> near = routes.stream().filter(r -> r.costMillis() <= bound).toList();
        int index = (int) Long.remainderUnsigned(request.random(), near.size());
        return Optional.of(near.get(index).of(routes.size()));
    }

    private static void addOwned(State state, FrontRequest request, List<Route> routes) {
        for (ShardState shard : state.shards().values()) {
            if (!request.tried().contains(shard.id()) && shard.index().size() > 0) {
                double wait =
                        waitCost(
                                shard.index().byFree().freeSlots(),
                                shard.queue().requestCount(),
                                shard.index().size());
                double cost = wait + fixedCost(state, request, shard.id());
                routes.add(new Route(shard.id(), Optional.empty(), "", cost, wait, 0));
            }
        }
    }

    private static void addRemote(State state, FrontRequest request, List<Route> routes) {
        Tuning tuning = state.configuration().orElseThrow().tuning();
        for (Member member : state.membership().members().values()) {
            if (!Membership.isResponsive(state, member)) {
                continue;
            }
            for (var entry : member.row().shards().entrySet()) {
                ShardId shard = entry.getKey();
                ShardSummary summary = entry.getValue();
                if (request.tried().contains(shard)
                        || state.shards().containsKey(shard)
                        || summary.workers() == 0) {
                    continue;
                }
                double wait =
                        waitCost(summary.freeSlots(), summary.queuedRequests(), summary.workers());
                routes.add(
                        new Route(
                                shard,
                                Optional.of(member.row().id()),
                                member.row().peerAddress(),
                                wait
                                        + fixedCost(state, request, shard)
                                        + tuning.crossZoneCostMillis(),
                                wait,
                                0));
            }
        }
    }

    private static double waitCost(int freeSlots, int queued, int workers) {
        if (freeSlots > queued) {
            return 0;
        }
        return ASSUMED_SERVICE_MILLIS * (1.0 + (double) queued / Math.max(1, workers));
    }

    /** Returns the price of distance, of bytes and of a recent failure. */
    private static double fixedCost(State state, FrontRequest request, ShardId shard) {
        Tuning tuning = state.configuration().orElseThrow().tuning();
        long avoidedUntil = state.requests().avoided().getOrDefault(shard, Long.MIN_VALUE);
        double penalty = avoidedUntil > state.nowMillis() ? AVOIDED_COST_MILLIS : 0;
        return penalty
                + switch (distance(state, shard)) {
                    case SAME_ZONE -> 0;
                    case SAME_REGION -> tuning.crossZoneCostMillis();
                    case OTHER_REGION ->
                            tuning.crossRegionCostMillis() + bytesCost(state, request, tuning);
                };
    }

    private static double bytesCost(State state, FrontRequest request, Tuning tuning) {
        long bytes = state.requests().answerBytes().getOrDefault(request.queue().id(), 0L);
        return tuning.crossRegionCostPerMibMillis() * bytes / BYTES_PER_MIB;
    }

    private static Distance distance(State state, ShardId shard) {
        var workers = state.fleet().byShard().get(shard);
        return workers == null || workers.isEmpty()
                ? Distance.OTHER_REGION
                : state.self().location().distanceTo(workers.firstEntry().getValue().location());
    }
}
