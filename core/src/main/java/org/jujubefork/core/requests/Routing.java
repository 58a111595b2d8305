package org.jujubefork.core.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.State;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Distance;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;

/** Chooses the shard in which a request is tried. */
final class Routing {
    /** Estimated time for which a request holds a slot, where nothing better is known. */
    static final long ASSUMED_SERVICE_MILLIS = 20;

    /** How long a shard that failed an attempt is avoided; gossip shows the reason by then. */
    static final long AVOID_MILLIS = 1_000;

    /** Price of a shard that is avoided; it is used only if all others are worse. */
    static final double AVOIDED_COST_MILLIS = 10_000;

    /** Price of a shard in which work has to wait until other work of the team ends. */
    static final double IN_USE_COST_MILLIS = 5_000;

    /** Price of a shard in which no end of work helps; still better than a shard that fails. */
    static final double NO_BUDGET_COST_MILLIS = 8_000;

    /**
     * Routes whose costs differ by less count as equal. Gossip is up to seconds old; if all entries
     * took the cheapest route, they would all send to the same shard until the next gossip.
     */
    static final double NEAR_MILLIS = 1;

    /** As {@link #NEAR_MILLIS}, as a part of the expected wait, which is only an estimate. */
    static final double NEAR_PART_OF_WAIT = 0.25;

    private static final double BYTES_PER_MIB = 1024 * 1024;

    private Routing() {}

    /** What the budget of a team in a shard allows. */
    enum Budget {
        /** Work can start. */
        FREE(0),
        /** Work can start when other work of the team ends. */
        IN_USE(IN_USE_COST_MILLIS),
        /** The budget is smaller than the work. */
        NONE(NO_BUDGET_COST_MILLIS);

        private final double costMillis;

        Budget(double costMillis) {
            this.costMillis = costMillis;
        }

        double costMillis() {
            return costMillis;
        }
    }

    /**
     * A shard and its owner.
     *
     * @param shard the shard
     * @param owner its owner; empty if this entry owns it
     * @param peerAddress the owner's address; empty if this entry owns it
     * @param costMillis the price of the route in milliseconds of waiting
     * @param waitMillis the part of the price that is the expected wait
     * @param budget what the team's budget there allows, as far as this entry knows
     * @param alternatives how many other shards could have been chosen
     * @param budgetElsewhere whether the team has budget in another of them
     */
    record Route(
            ShardId shard,
            Optional<EntryId> owner,
            String peerAddress,
            double costMillis,
            double waitMillis,
            Budget budget,
            int alternatives,
            boolean budgetElsewhere) {
        static Route of(
                ShardId shard,
                Optional<EntryId> owner,
                String address,
                double fixed,
                double wait,
                Budget budget) {
            double cost = wait + fixed + budget.costMillis();
            return new Route(shard, owner, address, cost, wait, budget, 0, false);
        }

        Route among(List<Route> routes) {
            boolean elsewhere =
                    routes.stream()
                            .anyMatch(r -> r.budget() != Budget.NONE && !r.shard().equals(shard));
            return new Route(
                    shard,
                    owner,
                    peerAddress,
                    costMillis,
                    waitMillis,
                    budget,
                    routes.size() - 1,
                    elsewhere);
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
        int index = (int) Long.remainderUnsigned(request.call().random(), near.size());
        return Optional.of(near.get(index).among(routes));
    }

    private static void addOwned(State state, FrontRequest request, List<Route> routes) {
        for (ShardState shard : state.shards().values()) {
            if (!request.past().tried().contains(shard.id()) && shard.workerIndex().size() > 0) {
                double wait =
                        waitCost(
                                shard.workerIndex().byFree().totalFreeSlots(),
                                shard.queue().requestCount(),
                                shard.workerIndex().size());
                Resources size = request.queue().size();
                TeamId team = request.queue().team();
                Budget budget =
                        budget(
                                state,
                                request,
                                shard.id(),
                                Limits.allows(state, shard, team, size),
                                size.fitsIn(Limits.available(state, shard, team)));
                routes.add(
                        Route.of(
                                shard.id(),
                                Optional.empty(),
                                "",
                                fixedCost(state, request, shard.id()),
                                wait,
                                budget));
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
                if (request.past().tried().contains(shard)
                        || state.shards().containsKey(shard)
                        || summary.workers() == 0) {
                    continue;
                }
                double wait =
                        waitCost(summary.freeSlots(), summary.queuedRequests(), summary.workers());
                Resources size = request.queue().size();
                TeamLoad load = summary.teams().get(request.queue().team());
                routes.add(
                        Route.of(
                                shard,
                                Optional.of(member.row().id()),
                                member.row().peerAddress(),
                                fixedCost(state, request, shard) + tuning.crossZoneCostMillis(),
                                wait,
                                budget(
                                        state,
                                        request,
                                        shard,
                                        load == null || load.hasRoomFor(size),
                                        load == null
                                                || load.budget().map(size::fitsIn).orElse(true))));
            }
        }
    }

    private static Budget budget(
            State state, FrontRequest request, ShardId shard, boolean room, boolean fits) {
        if (!fits || request.past().declined().contains(shard)) {
            return Budget.NONE;
        }
        boolean reported =
                state.requests().isUsedUp(request.queue().team(), shard, state.nowMillis());
        return room && !reported ? Budget.FREE : Budget.IN_USE;
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
