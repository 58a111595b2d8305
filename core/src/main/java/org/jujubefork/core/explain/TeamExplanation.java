package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PVector;

/**
 * Usage, fair share and queued work of a team across the fleet.
 *
 * @param team identifier of the team
 * @param weight its weight for fair sharing
 * @param entitledShare its weight as a fraction of the sum of all weights
 * @param dominantShare the largest fraction of the fleet that it uses in any resource
 * @param usage resources of its running work
 * @param limit maximum resources of its running work
 * @param queued number of its requests and tasks that wait
 * @param waitingSinceMillis since when its oldest queued work waits, in milliseconds of this
 *     entry's monotonic clock; empty if none waits in a shard of this entry
 * @param waits reasons why its oldest queued work waits; empty if nothing is queued
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
