package org.jujubefork.core.limits;

import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;

/**
 * The budget of one team in one shard.
 *
 * @param epoch the epoch of the shard's owner that may use the row
 * @param budget what the team may have running in the shard
 */
public record BudgetRow(Epoch epoch, Resources budget) {}
