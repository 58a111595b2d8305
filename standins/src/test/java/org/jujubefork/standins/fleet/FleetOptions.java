package org.jujubefork.standins.fleet;

import java.time.Duration;

/**
 * Settings of a fleet.
 *
 * @param controlPort port of the control endpoints, 0 for a free one
 * @param usageLag age of the usage that workers report
 * @param enforceCapacity whether a start above the capacity is refused
 * @param ignoreEpochs whether commands of lower epochs are obeyed
 */
public record FleetOptions(
        int controlPort, Duration usageLag, boolean enforceCapacity, boolean ignoreEpochs) {
    /** Default age of the usage that workers report. */
    public static final Duration DEFAULT_USAGE_LAG = Duration.ofSeconds(2);

    public static FleetOptions defaults() {
        return new FleetOptions(0, DEFAULT_USAGE_LAG, false, false);
    }
}
