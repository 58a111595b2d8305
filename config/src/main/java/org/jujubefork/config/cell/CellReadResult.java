package org.jujubefork.config.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.config.source.Finding;
import org.jujubefork.core.configuration.Configuration;

/**
 * What was read from a base file and its overlays.
 *
 * @param document the texts by site
 * @param configurations the merged configuration of each site that the base lists; empty if any
 *     finding is an error
 * @param findings errors and warnings; those of the base first, then by overlay and place
 */
public record CellReadResult(
        ConfigurationDocument document,
        Map<String, Configuration> configurations,
        List<Finding> findings) {
    /** Copies map and list. */
    public CellReadResult {
        configurations = Map.copyOf(configurations);
        findings = List.copyOf(findings);
    }

    /** Returns whether no finding is an error. */
    public boolean isValid() {
        return !Finding.anyError(findings);
    }

    /**
     * Returns the configuration of {@code site}; empty on errors or if the base does not list it.
     */
    public Optional<Configuration> configuration(String site) {
        return Optional.ofNullable(configurations.get(site));
    }
}
