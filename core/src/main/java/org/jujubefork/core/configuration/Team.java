package org.jujubefork.core.configuration;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;

/**
 * A team with its weight for fair sharing and its upper limit.
 *
 * @param id identifier of the team
 * @param weight the team's fair share relative to the weights of the other teams; above 0
 * @param limit maximum resources that the team may use across the whole fleet
 */
public record Team(TeamId id, double weight, Resources limit) {
    /** Checks that the weight is positive and the limit is not negative. */
    public Team {
        if (!(weight > 0)) {
            throw new IllegalArgumentException(
                    "weight of team " + id + " must be above 0: " + weight);
        }
        if (limit.isNegative()) {
            throw new IllegalArgumentException(
                    "limit of team " + id + " must not be negative: " + limit);
        }
    }
}
