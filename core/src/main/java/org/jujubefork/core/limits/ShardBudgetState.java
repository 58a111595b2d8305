package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The state that an owner keeps in memory for the budgets of one shard, in addition to the ledger.
 *
 * @param epoch the epoch under which this entry owns the shard
 * @param allAcquiredAtMillis when the last worker was acquired; {@link Member#NEVER} until then
 * @param adoptedUsage usage by team that the workers reported after {@code allAcquiredAtMillis};
 *     empty until all of them have reported
 * @param caps local caps by team
 * @param slackSinceMillis by team, since when the team's row has exceeded the budget that the team
 *     requires
 * @param unconfirmedSinceMillis the end of the last pause of this entry, while work of limited
 *     teams must wait until each active worker has granted a renewal that was sent at or after this
 *     time; {@link Member#NEVER} otherwise
 */
public record ShardBudgetState(
        Epoch epoch,
        long allAcquiredAtMillis,
        Optional<PSortedMap<TeamId, Resources>> adoptedUsage,
        PSortedMap<TeamId, LocalCap> caps,
        PSortedMap<TeamId, Long> slackSinceMillis,
        long unconfirmedSinceMillis) {
    /** Returns the state of a shard that was just claimed under {@code epoch}. */
    static ShardBudgetState claimed(Epoch epoch) {
        return new ShardBudgetState(
                epoch,
                Member.NEVER,
                Optional.empty(),
                TreePMap.empty(),
                TreePMap.empty(),
                Member.NEVER);
    }

    /** Returns the usage adopted for {@code team}; zero if no usage was adopted yet. */
    Resources adoptedUsageOf(TeamId team) {
        Resources usage = adoptedUsage.map(m -> m.get(team)).orElse(null);
        return usage == null ? Resources.ZERO : usage;
    }

    ShardBudgetState withAllAcquiredAt(long nowMillis) {
        return new ShardBudgetState(
                epoch, nowMillis, adoptedUsage, caps, slackSinceMillis, unconfirmedSinceMillis);
    }

    ShardBudgetState withAdoptedUsage(PSortedMap<TeamId, Resources> usage) {
        return new ShardBudgetState(
                epoch,
                allAcquiredAtMillis,
                Optional.of(usage),
                caps,
                slackSinceMillis,
                unconfirmedSinceMillis);
    }

    ShardBudgetState withCaps(PSortedMap<TeamId, LocalCap> value) {
        return new ShardBudgetState(
                epoch,
                allAcquiredAtMillis,
                adoptedUsage,
                value,
                slackSinceMillis,
                unconfirmedSinceMillis);
    }

    ShardBudgetState withSlackSince(PSortedMap<TeamId, Long> value) {
        return new ShardBudgetState(
                epoch, allAcquiredAtMillis, adoptedUsage, caps, value, unconfirmedSinceMillis);
    }

    ShardBudgetState withUnconfirmedSince(long millis) {
        return new ShardBudgetState(
                epoch, allAcquiredAtMillis, adoptedUsage, caps, slackSinceMillis, millis);
    }
}
