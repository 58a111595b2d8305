package org.jujubefork.core.configuration;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;

/**
 * A team, its weight in fair sharing and its upper limit.
 *
 * @param id the team
 * @param weight the team's share relative to the weights of the other teams, above 0
 * @param limit what the team may have running across the whole fleet
 */
public record Team(TeamId id, double weight, Resources limit) {
    /** Checks weight and limit. */
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
