package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;

/**
 * The budget of one team in one shard.
 *
 * @param epoch the epoch of the shard owner that may use the row
 * @param budget the most that the team may have running in the shard; not negative
 * @param reducedFor the lowered upper limit for which the row was last reduced to its proportional
 *     part; empty if it was not reduced or its budget was changed for another reason since
 */
public record BudgetRow(Epoch epoch, Resources budget, Optional<Resources> reducedFor) {
    /**
     * Creates a row.
     *
     * @throws IllegalArgumentException if the budget is negative
     */
    public BudgetRow {
        if (budget.isNegative()) {
            throw new IllegalArgumentException("budget must not be negative: " + budget);
        }
    }

    /** Creates a row that was not reduced for a lowered limit. */
    public BudgetRow(Epoch epoch, Resources budget) {
        this(epoch, budget, Optional.empty());
    }

    /** Returns this row under the epoch of another owner. */
    public BudgetRow withEpoch(Epoch owner) {
        return new BudgetRow(owner, budget, reducedFor);
    }
}
