package org.jujubefork.client.api;

import org.jujubefork.core.model.Resources;

/**
 * An amount of resources.
 *
 * @param cpuMillis thousandths of a CPU core
 * @param memoryMb memory in MiB
 * @param accelerators number of accelerators
 */
public record ResourcesView(long cpuMillis, long memoryMb, long accelerators) {
    /** Returns {@code resources} as an API message. */
    public static ResourcesView of(Resources resources) {
        return new ResourcesView(
                resources.cpuMillis(), resources.memoryMb(), resources.accelerators());
    }

    /** Returns this amount as a value of the scheduler core. */
    public Resources toResources() {
        return Resources.of(cpuMillis, memoryMb, accelerators);
    }
}
