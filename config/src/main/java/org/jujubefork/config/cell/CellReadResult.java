package org.jujubefork.config.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.config.source.Finding;
import org.jujubefork.core.configuration.Configuration;

/**
 * The result of reading a base file and its overlays.
 *
 * @param document the texts that were read
 * @param configurations the merged configuration of each site that the base lists; empty if any
 *     finding is an error
 * @param findings errors and warnings; those of the base first, then by overlay and position
 */
public record CellReadResult(
        ConfigurationDocument document,
        Map<String, Configuration> configurations,
        List<Finding> findings) {
    /** Copies the map and the list. */
    public CellReadResult {
        configurations = Map.copyOf(configurations);
        findings = List.copyOf(findings);
    }

    /** Returns whether the configuration may be applied; findings are warnings at most. */
    public boolean isValid() {
        return !Finding.anyError(findings);
    }

    /**
     * Returns the merged configuration of {@code site}; empty if any finding is an error or the
     * base does not list the site.
     */
    public Optional<Configuration> configuration(String site) {
        return Optional.ofNullable(configurations.get(site));
    }
}
