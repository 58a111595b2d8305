package org.jujubefork.client.api;

/**
 * How much a team uses.
 *
 * @param team the team
 * @param usage what it has running across the fleet
 * @param share its dominant share of the fleet, 0 to 1
 * @param entitledShare its weight as a fraction of all weights, 0 to 1
 * @param limit its upper limit
 * @param waiting its waiting requests and tasks
 */
public record TeamView(
        String team,
        ResourcesView usage,
        double share,
        double entitledShare,
        ResourcesView limit,
        int waiting) {}
