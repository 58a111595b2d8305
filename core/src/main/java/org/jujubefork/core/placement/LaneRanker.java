package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.fairshare.FairShare;
import org.jujubefork.core.fairshare.QueueOrder;
import org.jujubefork.core.fairshare.QueueOrders;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * Ranks the lanes of teams by the configured queue order. Values that do not change during one run
 * of the scheduler are computed once.
 *
 * @param configuration the active configuration
 * @param capacity the total capacity of the fleet
 * @param fairShare the fair share among all teams
 */
record LaneRanker(Configuration configuration, Resources capacity, FairShare fairShare) {
    static LaneRanker of(State state) {
        Configuration configuration = state.configuration().orElseThrow();
        return new LaneRanker(
                configuration,
                FleetUsage.capacity(state),
                new FairShare(configuration.totalWeight()));
    }

    /**
     * Returns the rank of the lane of {@code team} whose head is {@code head}; the lowest rank is
     * placed first.
     */
    double rank(State state, TeamId team, QueuedWork head) {
        double weight = configuration.team(team).map(Team::weight).orElse(1.0);
        double share = FleetUsage.of(state, team).dominantShareOf(capacity);
        return queueOrder(head.kind())
                .rank(fairShare.view(share, weight, head.waitingSinceMillis(), state.nowMillis()));
    }

    private QueueOrder queueOrder(WorkKind kind) {
        KindPolicy policy = configuration.policies().get(kind);
        return Optional.ofNullable(policy)
                .flatMap(p -> QueueOrders.named(p.order()))
                .orElse(QueueOrders.WEIGHTED_FAIR);
    }
}
