package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * Ranks the lanes of teams by the configured queue order. Values that do not change during one run
 * of the scheduler are computed once.
 *
 * @param configuration the active configuration
 * @param capacity the total capacity of the fleet
 * @param totalWeight the sum of the weights of all teams
 */
record LaneRanker(Configuration configuration, Resources capacity, double totalWeight) {
    static LaneRanker of(State state) {
        Configuration configuration = state.configuration().orElseThrow();
        return new LaneRanker(
                configuration, FleetUsage.capacity(state), configuration.totalWeight());
    }

    /**
     * Returns the rank of the lane of {@code team} whose head is {@code head}; the lowest rank is
     * placed first.
     */
    double rank(State state, TeamId team, QueuedWork head) {
        double weight = configuration.team(team).map(Team::weight).orElse(1.0);
        double weightedShare = FleetUsage.of(state, team).dominantShareOf(capacity) / weight;
        return queueOrder(head.kind())
                .rank(
                        new QueueOrder.TeamView(
                                weightedShare,
                                weightedShare * totalWeight,
                                head.waitingSinceMillis(),
                                state.nowMillis() - head.waitingSinceMillis()));
    }

    private QueueOrder queueOrder(WorkKind kind) {
        KindPolicy policy = configuration.policies().get(kind);
        return Optional.ofNullable(policy)
                .flatMap(p -> QueueOrders.named(p.order()))
                .orElse(QueueOrders.WEIGHTED_FAIR);
    }
}
