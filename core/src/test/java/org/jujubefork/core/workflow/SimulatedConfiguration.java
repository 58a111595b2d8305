package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jujubefork.core.model.Resources;

/** The operators' configuration in the simulation and the ones that it replaced. */
final class SimulatedConfiguration {
    /** Maximum delay until an entry reads a new configuration. */
    private static final int MAX_READ_DELAY_MILLIS = 800;

    /** How long a run that was started under an earlier configuration may still count. */
    private static final long OLD_RUN_MILLIS = 12_000;

    private record Version(long replacedAt, CellConfiguration configuration) {}

    private final Simulation simulation;
    private final List<Version> earlierVersions = new ArrayList<>();
    private CellConfiguration current;

    SimulatedConfiguration(Simulation simulation, CellConfiguration initial) {
        this.simulation = simulation;
        this.current = initial;
    }

    CellConfiguration current() {
        return current;
    }

    /** Returns the configuration of {@code queue}, if it exists now. */
    Optional<CellConfiguration.Queue> queue(String queue) {
        return current.queue(queue);
    }

    /** Returns the services to which any configuration has sent the tasks of {@code queue}. */
    Set<String> servicesOf(String queue) {
        return Stream.concat(
                        Stream.of(current), earlierVersions.stream().map(Version::configuration))
                .flatMap(c -> c.queue(queue).stream())
                .map(CellConfiguration.Queue::service)
                .collect(Collectors.toSet());
    }

    /** Returns the present limit of {@code team}; a component of 0 means no limit. */
    Resources limit(String team) {
        return limit(current, team);
    }

    private static Resources limit(CellConfiguration configuration, String team) {
        return configuration.team(team).map(CellConfiguration.Team::limit).orElse(Resources.ZERO);
    }

    /**
     * Returns the highest limit of {@code team} that an entry may still apply. A component of 0
     * means no limit.
     */
    Resources highestLimit(String team) {
        Resources highest = limit(team);
        for (Version version : earlierVersions) {
            if (simulation.now() - version.replacedAt() < OLD_RUN_MILLIS) {
                Resources earlier = limit(version.configuration(), team);
                highest =
                        earlier.isZero() || highest.isZero()
                                ? Resources.ZERO
                                : highest.max(earlier);
            }
        }
        return highest;
    }

    /** Replaces the configuration; each running entry reads the new one after a delay. */
    void replace(CellConfiguration next) {
        earlierVersions.add(new Version(simulation.now(), current));
        current = next;
        for (SimulatedEntry entry : simulation.entries) {
            int boot = entry.boot;
            long sentAt = simulation.now();
            simulation.after(
                    simulation.random.nextInt(MAX_READ_DELAY_MILLIS),
                    () ->
                            simulation.post(
                                    entry,
                                    boot,
                                    new WorkflowEvent.ConfigurationRead(
                                            simulation.now(), sentAt, Optional.of(next))));
        }
    }
}
