package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * What a team uses and wants in one shard.
 *
 * @param running declared sizes of running tasks
 * @param waiting declared sizes of waiting work that its budget does not cover
 * @param queued how many requests and tasks wait
 * @param budget what it may have running now; empty if its upper limit cannot bind
 */
public record TeamLoad(
        Resources running, Resources waiting, int queued, Optional<Resources> budget) {
    /** Creates the load of a team whose upper limit cannot bind. */
    public TeamLoad(Resources running, Resources waiting, int queued) {
        this(running, waiting, queued, Optional.empty());
    }

    /** Returns whether the budget has room for work of {@code size} beside what runs. */
    public boolean hasBudgetFor(Resources size) {
        return budget.map(b -> running.plus(size).fitsIn(b)).orElse(true);
    }

    /** No usage and no demand. */
    public static final TeamLoad NONE = new TeamLoad(Resources.ZERO, Resources.ZERO, 0);
}
