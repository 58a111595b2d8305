package org.jujubefork.standins.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * What a test cell consists of.
 *
 * @param configuration the base text that is applied at the start
 * @param overlays the texts of the overlays by site
 * @param operatorKey key of an operator that the configuration names
 * @param teamKeys access keys by team
 * @param workerRelays whether entries reach workers through relays that tests can cut
 * @param fleetFlags further flags of the process of the workers
 * @param settings numbers in the settings of each entry that differ from the defaults
 */
public record CellPlan(
        List<Entry> entries,
        List<Worker> workers,
        String configuration,
        Map<String, String> overlays,
        String operatorKey,
        Map<String, String> teamKeys,
        boolean workerRelays,
        List<String> fleetFlags,
        Map<String, Long> settings) {
    /** Copies the collections. */
    public CellPlan {
        entries = List.copyOf(entries);
        workers = List.copyOf(workers);
        overlays = Map.copyOf(overlays);
        teamKeys = Map.copyOf(teamKeys);
        fleetFlags = List.copyOf(fleetFlags);
        settings = Map.copyOf(settings);
    }

    /** An entry VM. */
    public record Entry(String name, String region, String zone) {}

    /** A worker VM. */
    public record Worker(
            String id, String region, String zone, String rack, Resources capacity, int slots) {}

    /** Returns the key of a team, empty for the empty name. */
    public Optional<String> key(String team) {
        return Optional.ofNullable(teamKeys.get(team));
    }
}
