package org.jujubefork.core.limits;

import org.jujubefork.core.model.Resources;

/**
 * A bound on the usage of a team in an owned shard. The owner applies it before it lowers the
 * ledger row.
 *
 * @param budget the bound
 * @param sinceMillis since when usage has been within the bound; the time of the last tick while
 *     usage exceeds the bound
 * @param requiredByLimit whether the cap was set because the team's limit was lowered; demand of
 *     the team never removes such a cap
 */
public record LocalCap(Resources budget, long sinceMillis, boolean requiredByLimit) {}
