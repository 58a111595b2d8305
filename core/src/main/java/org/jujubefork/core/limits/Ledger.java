package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The budgets of all teams in all shards, as recorded in the store. The sum of a team's budgets
 * stays within the team's upper limit. Only after a limit is lowered can the sum exceed it, until
 * the owners have reduced their rows.
 *
 * @param rows budgets by team, then by shard
 */
public record Ledger(PSortedMap<TeamId, PSortedMap<ShardId, BudgetRow>> rows) {
    /** The empty ledger. */
    public static final Ledger EMPTY = new Ledger(TreePMap.empty());

    /** Returns the row of {@code team} in {@code shard}; empty if the ledger has no such row. */
    public Optional<BudgetRow> row(TeamId team, ShardId shard) {
        return Optional.ofNullable(rowsOf(team).get(shard));
    }

    /** Returns the rows of {@code team} by shard; empty if the team has none. */
    public PSortedMap<ShardId, BudgetRow> rowsOf(TeamId team) {
        PSortedMap<ShardId, BudgetRow> shards = rows.get(team);
        return shards == null ? TreePMap.empty() : shards;
    }

    /** Returns the sum of the budgets of {@code team}. */
    public Resources allocated(TeamId team) {
        Resources sum = Resources.ZERO;
        for (BudgetRow row : rowsOf(team).values()) {
            sum = sum.plus(row.budget());
        }
        return sum;
    }

    /** Returns the highest epoch in the rows of {@code shard}; empty if the shard has no rows. */
    public Optional<Epoch> highestEpoch(ShardId shard) {
        Optional<Epoch> highest = Optional.empty();
        for (PSortedMap<ShardId, BudgetRow> shards : rows.values()) {
            BudgetRow row = shards.get(shard);
            if (row != null && (highest.isEmpty() || row.epoch().isAbove(highest.get()))) {
                highest = Optional.of(row.epoch());
            }
        }
        return highest;
    }

    /** Returns this ledger with the row of {@code team} in {@code shard} added or replaced. */
    public Ledger withRow(TeamId team, ShardId shard, BudgetRow row) {
        return new Ledger(rows.plus(team, rowsOf(team).plus(shard, row)));
    }

    /** Returns this ledger without the row of {@code team} in {@code shard}. */
    public Ledger withoutRow(TeamId team, ShardId shard) {
        PSortedMap<ShardId, BudgetRow> remaining = rowsOf(team).minus(shard);
        return new Ledger(remaining.isEmpty() ? rows.minus(team) : rows.plus(team, remaining));
    }
}
