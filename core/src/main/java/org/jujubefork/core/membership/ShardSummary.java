package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The load of a shard as its owner reports it in gossip.
 *
 * @param epoch the owner's authority
 * @param workers how many workers can take work
 * @param freeSlots how many request slots are free
 * @param queuedRequests how many requests wait
 * @param capacity what the shard's workers hold in all
 * @param free what is free, summed over workers
 * @param largestFree the largest free amount on one worker, component by component
 * @param teams usage and demand by team
 * @param handoverTo the entry that is asked to take the shard over
 */
public record ShardSummary(
        Epoch epoch,
        int workers,
        int freeSlots,
        int queuedRequests,
        Resources capacity,
        Resources free,
        Resources largestFree,
        PSortedMap<TeamId, TeamLoad> teams,
        Optional<String> handoverTo) {
    /** Returns this summary with other team loads. */
    ShardSummary withTeams(PSortedMap<TeamId, TeamLoad> value) {
        return new ShardSummary(
                epoch,
                workers,
                freeSlots,
                queuedRequests,
                capacity,
                free,
                largestFree,
                value,
                handoverTo);
    }

    /** Returns this summary with only the owner's authority and the handover. */
    ShardSummary withoutLoad() {
        return new ShardSummary(
                epoch,
                0,
                0,
                0,
                Resources.ZERO,
                Resources.ZERO,
                Resources.ZERO,
                TreePMap.empty(),
                handoverTo);
    }
}
