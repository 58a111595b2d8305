package org.jujubefork.client.api;

/**
 * Resource usage and limit of a team.
 *
 * @param team name of the team
 * @param usage resources used by its running work across the fleet
 * @param share dominant share: largest fraction of the fleet that the team uses of any one
 *     resource, 0 to 1
 * @param entitledShare weight of the team as a fraction of all weights, 0 to 1
 * @param limit maximum resources that the team may use
 * @param waiting number of waiting requests and tasks of the team
 */
public record TeamView(
        String team,
        ResourcesView usage,
        double share,
        double entitledShare,
        ResourcesView limit,
        int waiting) {}
