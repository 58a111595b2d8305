package org.jujubefork.core.configuration;

/**
 * The names of the scheduling policies for one kind of work.
 *
 * @param order name of a queue order, see {@code org.jujubefork.core.fairshare.QueueOrders}
 * @param placement name of a placement policy, see {@code
 *     org.jujubefork.core.placement.PlacementPolicies}
 */
public record KindPolicy(String order, String placement) {}
