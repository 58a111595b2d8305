package org.jujubefork.bench;

import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.limits.BudgetRow;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.placement.ShardState;

/** Budgets that do not restrict any team, so that a benchmark measures the placement alone. */
final class UnrestrictedBudgets {
    private UnrestrictedBudgets() {}

    /** Returns an event whose ledger gives each owned shard the full limit of each team. */
    static LimitEvent.LedgerLoaded of(State state) {
        Ledger ledger = Ledger.EMPTY;
        for (Team team : state.configuration().orElseThrow().teams().values()) {
            for (ShardState shard : state.shards().values()) {
                BudgetRow row = new BudgetRow(shard.epoch(), team.limit());
                ledger = ledger.withRow(team.id(), shard.id(), row);
            }
        }
        return new LimitEvent.LedgerLoaded(state.nowMillis(), 1, ledger);
    }
}
