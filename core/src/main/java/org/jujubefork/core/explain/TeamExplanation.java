package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PVector;

/**
 * How a team stands across the fleet.
 *
 * @param team the team
 * @param weight its weight
 * @param entitledShare its part of the sum of all weights
 * @param dominantShare the largest fraction of the fleet that it uses in any resource
 * @param usage what it has running
 * @param limit what it may have running
 * @param queued how many requests and tasks wait
 * @param waitingSinceMillis since when the first of them waits, in milliseconds of the answering
 *     entry's clock; empty if none waits in a shard of this entry
 * @param waits why the first of them waits
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
        PVector<WaitExplanation> waits) {}
