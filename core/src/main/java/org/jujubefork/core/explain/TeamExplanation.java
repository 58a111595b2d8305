package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PVector;

/**
 * Usage, fair share and queued work of a team across the fleet.
 *
 * @param team identifier of the team
 * @param weight the team's weight for fair sharing
 * @param entitledShare the team's weight as a fraction of the sum of all weights
 * @param dominantShare the largest fraction of the fleet's capacity that the team uses in any
 *     resource
 * @param usage resources used by the team's running work
 * @param limit maximum resources that the team's running work may use
 * @param queued number of the team's requests and tasks that wait
 * @param waitingSinceMillis since when the team's oldest queued work waits, in milliseconds of this
 *     entry's monotonic clock; empty if no work of the team waits in a shard of this entry
 * @param waits reasons why the team's oldest queued work waits; empty if no work is queued
 */
public record TeamExplanation(
        TeamId team,
        double weight,
        double entitledShare,
        double dominantShare,
        Resources usage,
        Resources limit,
        int queued,
        Optional<Long> waitingSinceMillis,
        PVector<Wait> waits) {}
