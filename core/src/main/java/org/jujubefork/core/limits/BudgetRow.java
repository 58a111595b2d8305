package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;

/**
 * The budget of one team in one shard.
 *
 * @param epoch the epoch of the shard owner that may use the row
 * @param budget maximum total size of the team's running work in the shard; not negative
 * @param reducedFor the lowered upper limit that caused the last change of the budget, a reduction
 *     to the row's proportional part of that limit; empty if the last change had another cause
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

    /** Returns this row with {@code owner} as the epoch of its shard's owner. */
    public BudgetRow withEpoch(Epoch owner) {
        return new BudgetRow(owner, budget, reducedFor);
    }
}
