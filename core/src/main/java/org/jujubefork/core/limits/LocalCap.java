package org.jujubefork.core.limits;

import org.jujubefork.core.model.Resources;

/**
 * A bound that an owner put on a team in a shard before it lowers the row in the ledger.
 *
 * @param budget the bound
 * @param sinceMillis when it came into force
 * @param requiredByLimit whether an operator's lower limit demands it; such a cap is never lifted
 *     by demand
 */
public record LocalCap(Resources budget, long sinceMillis, boolean requiredByLimit) {}
