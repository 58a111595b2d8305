package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;

/**
 * The budget of one team in one shard.
 *
 * @param epoch the epoch of the shard's owner that may use the row
 * @param budget what the team may have running in the shard
 * @param reducedFor the upper limit for which the row was last reduced to its proportional part;
 *     empty once the row was raised again
 */
public record BudgetRow(Epoch epoch, Resources budget, Optional<Resources> reducedFor) {
    /** Checks that the budget is not negative. */
    public BudgetRow {
        if (budget.isNegative()) {
            throw new IllegalArgumentException("budget must not be negative: " + budget);
        }
    }

    /** Creates a row that was not reduced. */
    public BudgetRow(Epoch epoch, Resources budget) {
        this(epoch, budget, Optional.empty());
    }

    /** Returns this row under another epoch. */
    public BudgetRow withEpoch(Epoch owner) {
        return new BudgetRow(owner, budget, reducedFor);
    }
}
