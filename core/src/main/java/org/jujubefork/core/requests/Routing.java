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

/** Chooses the shard for the next attempt of a request, by estimated cost. */
final class Routing {
    /** Assumed time for which a request holds a slot; the actual time is not measured. */
    static final long ASSUMED_SERVICE_TIME_MILLIS = 20;

    /**
     * Time for which a shard is avoided after a failed attempt; after this time, gossip reflects
     * the cause of the failure.
     */
    static final long AVOID_DURATION_MILLIS = 1_000;

    /**
     * Cost of a shard that is avoided; high enough that the shard is used only if all other routes
     * cost more.
     */
    static final double AVOIDED_SHARD_COST_MILLIS = 10_000;

    /** Cost of a shard in which the request has to wait for other work of the team to complete. */
    static final double BUDGET_IN_USE_COST_MILLIS = 5_000;

    /**
     * Cost of a shard in which the budget is too small even after all work of the team completes;
     * still below that of a shard that fails.
     */
    static final double NO_BUDGET_COST_MILLIS = 8_000;

    /**
     * Routes whose costs differ by at most this count as equal, and one of them is chosen at
     * random. Gossip can be seconds old; if all entries took the cheapest route, they would all
     * send to the same shard until the next gossip.
     */
    static final double EQUAL_COST_MILLIS = 1;

    /**
     * The counterpart of {@link #EQUAL_COST_MILLIS} as a fraction of the expected wait, since the
     * wait is only an estimate. The larger of both bounds applies.
     */
    static final double EQUAL_COST_WAIT_FRACTION = 0.25;

    private static final double BYTES_PER_MIB = 1024 * 1024;

    private Routing() {}

    /** Whether the budget of a team in a shard allows a request to start. */
    enum TeamBudget {
        /** The request can start at once. */
        FREE(0),
        /** The request can start once other work of the team completes. */
        IN_USE(BUDGET_IN_USE_COST_MILLIS),
        /** The budget is smaller than the request, or the owner declined the request. */
        NONE(NO_BUDGET_COST_MILLIS);

        private final double costMillis;

        TeamBudget(double costMillis) {
            this.costMillis = costMillis;
        }

        double costMillis() {
            return costMillis;
        }
    }

    /**
     * A shard that can run a request, with its owner and the cost of sending the request there.
     *
     * @param shard the shard that runs the request
     * @param owner the owner of the shard; empty if this entry owns it
     * @param peerAddress the peer address of the owner; empty if this entry owns the shard
     * @param costMillis the total cost of the route, as milliseconds of waiting
     * @param waitMillis the expected wait in the shard, which is part of the cost
     * @param budget whether the budget of the team there allows the request to start, as far as
     *     this entry knows
     * @param alternatives the number of other shards that could have been chosen
     * @param hasBudgetElsewhere whether the team has budget in any of the other shards
     */
    record Route(
            ShardId shard,
            Optional<EntryId> owner,
            String peerAddress,
            double costMillis,
            double waitMillis,
            TeamBudget budget,
            int alternatives,
            boolean hasBudgetElsewhere) {
        static Route of(
                ShardId shard,
                Optional<EntryId> owner,
                String address,
                double fixedCost,
                double waitCost,
                TeamBudget budget) {
            double cost = waitCost + fixedCost + budget.costMillis();
            return new Route(shard, owner, address, cost, waitCost, budget, 0, false);
        }

        Route withAlternatives(List<Route> routes) {
            boolean anyBudgetElsewhere =
                    routes.stream()
                            .anyMatch(
                                    r -> r.budget() != TeamBudget.NONE && !r.shard().equals(shard));
            return new Route(
                    shard,
                    owner,
                    peerAddress,
                    costMillis,
                    waitMillis,
                    budget,
                    routes.size() - 1,
                    anyBudgetElsewhere);
        }
    }

    /**
     * Returns one of the cheapest routes to shards that {@code request} has not tried; empty if
     * there is no such shard with a live owner and workers.
     */
    static Optional<Route> choose(State state, CallerRequest request) {
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
        double maxCostMillis =
                cheapest.costMillis()
                        + Math.max(
                                EQUAL_COST_MILLIS,
                                EQUAL_COST_WAIT_FRACTION * cheapest.waitMillis());
        List<Route> equalRoutes =
                routes.stream().filter(r -> r.costMillis() <= maxCostMillis).toList();
        int index = (int) Long.remainderUnsigned(request.arrival().random(), equalRoutes.size());
        return Optional.of(equalRoutes.get(index).withAlternatives(routes));
    }

    private static void addOwned(State state, CallerRequest request, List<Route> routes) {
        for (ShardState shard : state.shards().values()) {
            if (!request.pastAttempts().triedShards().contains(shard.id())
                    && shard.workerIndex().size() > 0) {
                double wait =
                        waitCostMillis(
                                shard.workerIndex().byFree().totalFreeSlots(),
                                shard.queue().requestCount(),
                                shard.workerIndex().size());
                Resources size = request.queue().size();
                TeamId team = request.queue().team();
                TeamBudget budget =
                        teamBudget(
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
                                fixedCostMillis(state, request, shard.id()),
                                wait,
                                budget));
            }
        }
    }

    private static void addRemote(State state, CallerRequest request, List<Route> routes) {
        Tuning tuning = state.configuration().orElseThrow().tuning();
        for (Member member : state.membership().members().values()) {
            if (!Membership.isResponsive(state, member)) {
                continue;
            }
            for (var shardAndSummary : member.row().shards().entrySet()) {
                ShardId shard = shardAndSummary.getKey();
                ShardSummary summary = shardAndSummary.getValue();
                if (request.pastAttempts().triedShards().contains(shard)
                        || state.shards().containsKey(shard)
                        || summary.workers() == 0) {
                    continue;
                }
                double wait =
                        waitCostMillis(
                                summary.freeSlots(), summary.queuedRequests(), summary.workers());
                Resources size = request.queue().size();
                TeamLoad load = summary.teams().get(request.queue().team());
                routes.add(
                        Route.of(
                                shard,
                                Optional.of(member.row().id()),
                                member.row().peerAddress(),
                                fixedCostMillis(state, request, shard)
                                        + tuning.crossZoneCostMillis(),
                                wait,
                                teamBudget(
                                        state,
                                        request,
                                        shard,
                                        load == null || load.hasBudgetFor(size),
                                        load == null
                                                || load.budget().map(size::fitsIn).orElse(true))));
            }
        }
    }

    private static TeamBudget teamBudget(
            State state,
            CallerRequest request,
            ShardId shard,
            boolean hasFreeBudget,
            boolean withinBudget) {
        if (!withinBudget || request.pastAttempts().decliningShards().contains(shard)) {
            return TeamBudget.NONE;
        }
        boolean isUsedUp =
                state.requests().isBudgetUsedUp(request.queue().team(), shard, state.nowMillis());
        return hasFreeBudget && !isUsedUp ? TeamBudget.FREE : TeamBudget.IN_USE;
    }

    private static double waitCostMillis(int freeSlots, int queued, int workers) {
        if (freeSlots > queued) {
            return 0;
        }
        return ASSUMED_SERVICE_TIME_MILLIS * (1.0 + (double) queued / Math.max(1, workers));
    }

    /** Returns the cost that does not depend on load: distance, transfer and recent failures. */
    private static double fixedCostMillis(State state, CallerRequest request, ShardId shard) {
        Tuning tuning = state.configuration().orElseThrow().tuning();
        long avoidedUntil =
                state.requests().avoidedUntilMillis().getOrDefault(shard, Long.MIN_VALUE);
        double penalty = avoidedUntil > state.nowMillis() ? AVOIDED_SHARD_COST_MILLIS : 0;
        return penalty
                + switch (distanceTo(state, shard)) {
                    case SAME_ZONE -> 0;
                    case SAME_REGION -> tuning.crossZoneCostMillis();
                    case OTHER_REGION ->
                            tuning.crossRegionCostMillis()
                                    + transferCostMillis(state, request, tuning);
                };
    }

    private static double transferCostMillis(State state, CallerRequest request, Tuning tuning) {
        long bytes = state.requests().averageAnswerBytes().getOrDefault(request.queue().id(), 0L);
        return tuning.crossRegionCostPerMibMillis() * bytes / BYTES_PER_MIB;
    }

    private static Distance distanceTo(State state, ShardId shard) {
        var workers = state.fleet().byShard().get(shard);
        return workers == null || workers.isEmpty()
                ? Distance.OTHER_REGION
                : state.self().location().distanceTo(workers.firstEntry().getValue().location());
    }
}
