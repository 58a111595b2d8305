package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The budgets of all teams in all shards, as kept in the store. The sum of a team's budgets stays
 * within its upper limit.
 *
 * @param rows budgets by team, then by shard
 */
public record Ledger(PSortedMap<TeamId, PSortedMap<ShardId, BudgetRow>> rows) {
    /** A ledger without rows. */
    public static final Ledger EMPTY = new Ledger(TreePMap.empty());

    /** Returns the row of {@code team} in {@code shard}, if there is one. */
    public Optional<BudgetRow> row(TeamId team, ShardId shard) {
        PSortedMap<ShardId, BudgetRow> shards = rows.get(team);
        return shards == null ? Optional.empty() : Optional.ofNullable(shards.get(shard));
    }

    /** Returns the sum of the budgets of {@code team}. */
    public Resources allocated(TeamId team) {
        PSortedMap<ShardId, BudgetRow> shards = rows.get(team);
        if (shards == null) {
            return Resources.ZERO;
        }
        return shards.values().stream()
                .map(BudgetRow::budget)
                .reduce(Resources.ZERO, Resources::plus);
    }

    /** Returns this ledger with {@code row} for {@code team} in {@code shard}. */
    public Ledger with(TeamId team, ShardId shard, BudgetRow row) {
        PSortedMap<ShardId, BudgetRow> shards = rows.get(team);
        PSortedMap<ShardId, BudgetRow> base = shards == null ? TreePMap.empty() : shards;
        return new Ledger(rows.plus(team, base.plus(shard, row)));
    }
}
