package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration;
import org.jujubefork.core.workflow.EvacuationRequest;
import org.pcollections.PMap;

/**
 * What a read of the operators' records has shown.
 *
 * @param configuration the configuration; empty if it does not exist, cannot be used or has not
 *     changed since the previous read
 * @param configurationFailure why the configuration cannot be used, if so. It does not affect the
 *     evacuations.
 * @param evacuations all requests to evacuate zones, by zone; empty in deployments without
 *     evacuations
 */
public record OperatorRecords(
        Optional<CellConfiguration> configuration,
        Optional<IOException> configurationFailure,
        Optional<PMap<String, EvacuationRequest>> evacuations) {
    /** Returns records without evacuations, with a configuration that can be used, if any. */
    public static OperatorRecords of(Optional<CellConfiguration> configuration) {
        return new OperatorRecords(configuration, Optional.empty(), Optional.empty());
    }

    /**
     * Returns the configuration.
     *
     * @throws IOException if it cannot be used
     */
    public Optional<CellConfiguration> usableConfiguration() throws IOException {
        if (configurationFailure.isPresent()) {
            throw configurationFailure.get();
        }
        return configuration;
    }
}
