package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * The usage and demand of a team in one shard.
 *
 * @param running the total declared size of the running tasks
 * @param waiting the total declared size of the waiting work that the team's budget does not cover
 * @param queued the number of waiting requests and tasks
 * @param budget maximum total size of the team's running tasks; empty if the team's upper limit is
 *     not binding
 */
public record TeamLoad(
        Resources running, Resources waiting, int queued, Optional<Resources> budget) {
    /** Creates the load of a team whose upper limit is not binding. */
    public TeamLoad(Resources running, Resources waiting, int queued) {
        this(running, waiting, queued, Optional.empty());
    }

    /** Returns whether the budget covers work of {@code size} in addition to the running tasks. */
    public boolean hasBudgetFor(Resources size) {
        return budget.map(b -> running.plus(size).fitsIn(b)).orElse(true);
    }

    /** The load of a team that has neither usage nor demand. */
    public static final TeamLoad NONE = new TeamLoad(Resources.ZERO, Resources.ZERO, 0);
}
