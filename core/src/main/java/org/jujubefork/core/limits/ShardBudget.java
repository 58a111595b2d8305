package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * What an owner keeps about the budgets of one of its shards, apart from the ledger.
 *
 * @param epoch the epoch under which the entry owns the shard
 * @param completeAtMillis when the last worker was acquired; {@link Member#NEVER} until then
 * @param adopted usage by team that the workers reported after {@code completeAtMillis}; empty
 *     until all of them have
 * @param caps local caps by team
 * @param slackSinceMillis since when a team's row is above what it needs
 * @param confirmFromMillis starts wait until each worker has granted a renewal sent at or after
 *     this time; {@link Member#NEVER} if none is awaited
 */
public record ShardBudget(
        Epoch epoch,
        long completeAtMillis,
        Optional<PSortedMap<TeamId, Resources>> adopted,
        PSortedMap<TeamId, LocalCap> caps,
        PSortedMap<TeamId, Long> slackSinceMillis,
        long confirmFromMillis) {
    /** Returns the record of a shard that was just claimed. */
    static ShardBudget claimed(Epoch epoch) {
        return new ShardBudget(
                epoch,
                Member.NEVER,
                Optional.empty(),
                TreePMap.empty(),
                TreePMap.empty(),
                Member.NEVER);
    }

    /** Returns what {@code team} may have running while the row carries another epoch. */
    Resources adoptedOf(TeamId team) {
        Resources usage = adopted.map(m -> m.get(team)).orElse(null);
        return usage == null ? Resources.ZERO : usage;
    }

    ShardBudget complete(long nowMillis) {
        return new ShardBudget(
                epoch, nowMillis, adopted, caps, slackSinceMillis, confirmFromMillis);
    }

    ShardBudget adopting(PSortedMap<TeamId, Resources> usage) {
        return new ShardBudget(
                epoch,
                completeAtMillis,
                Optional.of(usage),
                caps,
                slackSinceMillis,
                confirmFromMillis);
    }

    ShardBudget withCaps(PSortedMap<TeamId, LocalCap> value) {
        return new ShardBudget(
                epoch, completeAtMillis, adopted, value, slackSinceMillis, confirmFromMillis);
    }

    ShardBudget withSlack(PSortedMap<TeamId, Long> value) {
        return new ShardBudget(epoch, completeAtMillis, adopted, caps, value, confirmFromMillis);
    }

    ShardBudget confirmFrom(long millis) {
        return new ShardBudget(epoch, completeAtMillis, adopted, caps, slackSinceMillis, millis);
    }
}
