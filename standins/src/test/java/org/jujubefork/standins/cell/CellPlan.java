package org.jujubefork.standins.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * The VMs, the configuration and the settings of a test cell.
 *
 * @param entries the entry VMs
 * @param workers the worker VMs
 * @param configuration text of the base configuration, which is applied at the start
 * @param overlays texts of the configuration overlays by site
 * @param operatorKey access key of an operator in the configuration
 * @param teamKeys access keys by team
 * @param workerRelays whether entries connect to workers through relays that tests can interrupt
 * @param fleetFlags additional flags of the process that simulates the workers
 * @param settings numeric settings of every entry that differ from the defaults, by name
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

    /** An entry VM with its location. */
    public record Entry(String name, String region, String zone) {}

    /** A worker VM with its location, its capacity and its number of request slots. */
    public record Worker(
            String id, String region, String zone, String rack, Resources capacity, int slots) {}

    /** Returns the access key of a team; empty if the team has none or the name is empty. */
    public Optional<String> key(String team) {
        return Optional.ofNullable(teamKeys.get(team));
    }
}
