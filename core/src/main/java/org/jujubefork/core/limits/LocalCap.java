package org.jujubefork.core.limits;

import org.jujubefork.core.model.Resources;

/**
 * A bound on the usage of a team in an owned shard. The owner applies it before it lowers the
 * ledger row.
 *
 * @param budget the bound
 * @param sinceMillis since when usage has been within the bound; the last tick while it is not
 * @param requiredByLimit whether the cap follows from a lowered team limit; demand never removes
 *     such a cap
 */
public record LocalCap(Resources budget, long sinceMillis, boolean requiredByLimit) {}
