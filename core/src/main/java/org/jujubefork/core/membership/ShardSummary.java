package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The ownership and load of a shard as its owner reports them in gossip.
 *
 * @param epoch the epoch under which the owner holds the shard
 * @param workers the number of workers that accept work
 * @param freeSlots the number of free request slots
 * @param queuedRequests the number of waiting requests
 * @param capacity the total capacity of the shard's workers
 * @param free the total free capacity of the workers
 * @param largestFree the component-wise maximum of the free capacity of single workers
 * @param teams usage and demand by team
 * @param handoverTo the name of the entry that the owner asks to take over the shard; empty if none
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
    /** Returns this summary with {@code value} as the loads by team. */
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

    /** Returns this summary with zero load but the same epoch and handover. */
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
